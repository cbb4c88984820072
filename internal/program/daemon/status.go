package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/lease"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Status is the state of the system as seen by one daemon.
type Status struct {
	Daemon ident.DaemonID `json:"daemon"`
	// Problems describes each problem in a sentence, the most severe first. It is empty if there are none.
	Problems     []string       `json:"problems"`
	Lease        lease.Status   `json:"lease"`
	OpenRequests int64          `json:"openRequests"`
	Members      []MemberStatus `json:"members"`
	Engines      []EngineStatus `json:"engines"`
	Moves        []MoveStatus   `json:"moves"`
}

// MemberStatus is the state of one daemon of the fleet.
type MemberStatus struct {
	ID            ident.DaemonID      `json:"id"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	State         config.MemberState  `json:"state"`
	Live          bool                `json:"live"`
	Applied       ident.Offset        `json:"applied"`
	AdminAddress  string              `json:"adminAddress"`
}

// EngineStatus is the state of one engine as seen by this daemon.
type EngineStatus struct {
	ID       ident.UpstreamID  `json:"id"`
	Model    ident.ModelID     `json:"model"`
	Leaving  bool              `json:"leaving"`
	Ejected  bool              `json:"ejected"`
	Failures int               `json:"failures"`
	Versions []ident.VersionID `json:"versions"`
	// QueuedTokens is the number of tokens that wait for prefill, from the last load report.
	QueuedTokens ident.Tokens `json:"queuedTokens"`
	// ReportAgeMs is the age of the last load report in milliseconds, or -1 if there is none.
	ReportAgeMs int64 `json:"reportAgeMs"`
}

// MoveStatus is a move with a summary of its state in one sentence.
type MoveStatus struct {
	*config.Move
	Summary string `json:"summary"`
}

func (c *components) status() *Status {
	st := &Status{
		Daemon:       c.settings.DaemonID,
		Problems:     []string{},
		Lease:        c.lease.Status(),
		OpenRequests: c.service.OpenRequests(),
		Members:      c.memberStatus(),
		Engines:      c.engineStatus(time.Now()),
		Moves:        c.moveStatus(),
	}
	st.findProblems()
	return st
}

func (c *components) memberStatus() []MemberStatus {
	members := []MemberStatus{}
	view := c.membership.View()
	if view == nil {
		return members
	}
	for _, m := range view.Members {
		members = append(members, MemberStatus{
			ID:            m.ID,
			FailureDomain: m.FailureDomain,
			State:         m.State,
			Live:          m.Live,
			Applied:       m.Applied,
			AdminAddress:  m.AdminAddress,
		})
	}
	return members
}

func (c *components) engineStatus(now time.Time) []EngineStatus {
	engines := []EngineStatus{}
	for id, u := range c.router.Health.Upstreams() {
		cfg := u.Config()
		if cfg.Kind != config.UpstreamEngine {
			continue
		}
		_, leaving := u.LeavingFor(now)
		e := EngineStatus{ID: id, Model: cfg.Model, Leaving: leaving, Ejected: u.Ejected(now), Failures: u.Failures(), ReportAgeMs: -1}
		if report, age, ok := u.LastReport(now); ok {
			e.Versions, e.QueuedTokens, e.ReportAgeMs = report.Versions, report.QueuedTokens, age.Milliseconds()
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b EngineStatus) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

func (c *components) moveStatus() []MoveStatus {
	moves := []MoveStatus{}
	for _, m := range c.follower.State().Moves() {
		moves = append(moves, MoveStatus{Move: m, Summary: moveSummary(m)})
	}
	slices.SortFunc(moves, func(a, b MoveStatus) int { return b.StateSince.Compare(a.StateSince) })
	return moves
}

// moveSummary returns the state of a move in one sentence.
func moveSummary(m *config.Move) string {
	title := fmt.Sprintf("%s: %s to %s", m.Model, m.From, m.To)
	switch m.State {
	case config.MoveDone:
		return title + " is done: " + m.Reason
	case config.MoveTakenBack:
		return title + " was taken back: " + m.Reason
	case config.MovePaused:
		return fmt.Sprintf("%s is paused at %.1f %%: %s", title, float64(m.Share)/10, m.Reason)
	case config.MoveSoaking:
		return title + " has all traffic and is watched: " + m.Reason
	default:
		return fmt.Sprintf("%s has %.1f %% of the traffic: %s", title, float64(m.Share)/10, m.Reason)
	}
}

const (
	// staleReportAge is the age above which the report of an engine is stale: it is listed as a problem and not used for
	// weight loads.
	staleReportAge = 5 * time.Second
	// logDownAge is the age of the last read of the log's tail above which the log service counts as down.
	logDownAge = 10 * time.Second
)

// findProblems fills in the problems that an operator should look at.
func (s *Status) findProblems() {
	if !s.Lease.Valid {
		s.addProblem("this daemon serves nobody: %s", s.Lease)
	}
	if s.logDown() {
		s.addProblem("the log service does not answer; changes wait, serving goes on while the daemons see each other")
	}
	for _, m := range s.Members {
		if !m.Live && m.State == config.MemberJoined {
			s.addProblem("daemon %s in %s does not answer", m.ID, m.FailureDomain)
		}
	}
	for _, e := range s.Engines {
		switch {
		case e.Ejected:
			s.addProblem("engine %s gets no requests after %d failures", e.ID, e.Failures)
		case e.ReportAgeMs < 0 || e.ReportAgeMs > staleReportAge.Milliseconds():
			s.addProblem("engine %s sends no reports", e.ID)
		}
	}
	for _, m := range s.Moves {
		if !m.State.Ended() && time.Now().After(m.Deadline) {
			s.addProblem("move %s is past its deadline", m.ID)
		}
	}
}

// logDown reports whether the log's tail was never read or not within logDownAge.
func (s *Status) logDown() bool {
	return s.Lease.TailReadAge < 0 || s.Lease.TailReadAge > logDownAge
}

func (s *Status) addProblem(format string, args ...any) {
	s.Problems = append(s.Problems, fmt.Sprintf(format, args...))
}
