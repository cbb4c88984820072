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

// Status is what a daemon knows of the system, what is wrong first.
type Status struct {
	Daemon ident.DaemonID `json:"daemon"`
	// Problems are sentences, the worst first; empty if all is well.
	Problems     []string       `json:"problems"`
	Lease        lease.Status   `json:"lease"`
	OpenRequests int64          `json:"openRequests"`
	Members      []MemberStatus `json:"members"`
	Engines      []EngineStatus `json:"engines"`
	Moves        []MoveStatus   `json:"moves"`
}

// MemberStatus is one daemon of the fleet.
type MemberStatus struct {
	ID            ident.DaemonID      `json:"id"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	State         config.MemberState  `json:"state"`
	Live          bool                `json:"live"`
	Applied       ident.Offset        `json:"applied"`
	AdminAddress  string              `json:"adminAddress"`
}

// EngineStatus is one engine as this daemon sees it.
type EngineStatus struct {
	ID       ident.UpstreamID  `json:"id"`
	Model    ident.ModelID     `json:"model"`
	Leaving  bool              `json:"leaving"`
	Ejected  bool              `json:"ejected"`
	Failures int               `json:"failures"`
	Versions []ident.VersionID `json:"versions"`
	// QueuedTokens wait for prefill; ReportAgeMs is the age of that figure, below 0 without one.
	QueuedTokens ident.Tokens `json:"queuedTokens"`
	ReportAgeMs  int64        `json:"reportAgeMs"`
}

// MoveStatus is a move with one sentence on how it stands.
type MoveStatus struct {
	*config.Move
	Summary string `json:"summary"`
}

func (p *parts) status() *Status {
	st := &Status{
		Daemon:       p.settings.DaemonID,
		Problems:     []string{},
		Lease:        p.lease.Status(),
		OpenRequests: p.service.OpenRequests(),
		Members:      p.memberStatus(),
		Engines:      p.engineStatus(time.Now()),
		Moves:        p.moveStatus(),
	}
	st.findProblems()
	return st
}

func (p *parts) memberStatus() []MemberStatus {
	members := []MemberStatus{}
	view := p.fleet.View()
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

func (p *parts) engineStatus(now time.Time) []EngineStatus {
	engines := []EngineStatus{}
	for id, u := range p.router.Health.Upstreams() {
		cfg := u.Config()
		if cfg.Kind != config.UpstreamEngine {
			continue
		}
		_, leaving := u.Leaving(now)
		e := EngineStatus{ID: id, Model: cfg.Model, Leaving: leaving, Ejected: u.Ejected(now), Failures: u.Failures(), ReportAgeMs: -1}
		if report, age, ok := u.LastReport(now); ok {
			e.Versions, e.QueuedTokens, e.ReportAgeMs = report.Versions, report.QueuedTokens, age.Milliseconds()
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b EngineStatus) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

func (p *parts) moveStatus() []MoveStatus {
	moves := []MoveStatus{}
	for _, m := range p.follower.State().Moves() {
		moves = append(moves, MoveStatus{Move: m, Summary: summary(m)})
	}
	slices.SortFunc(moves, func(a, b MoveStatus) int { return b.StateSince.Compare(a.StateSince) })
	return moves
}

// summary tells in one sentence how a move stands.
func summary(m *config.Move) string {
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
	// staleReport is the age from which an engine's report is a problem.
	staleReport = 5 * time.Second
	// silentLog is the age of the last read of the log's tail from which the log service counts as down.
	silentLog = 10 * time.Second
)

// findProblems fills in what an operator should look at.
func (s *Status) findProblems() {
	if !s.Lease.Valid {
		s.problem("this daemon serves nobody: %s", s.Lease)
	}
	if s.logDown() {
		s.problem("the log service does not answer; changes wait, serving goes on while the daemons see each other")
	}
	for _, m := range s.Members {
		if !m.Live && m.State == config.MemberJoined {
			s.problem("daemon %s in %s does not answer", m.ID, m.FailureDomain)
		}
	}
	for _, e := range s.Engines {
		switch {
		case e.Ejected:
			s.problem("engine %s gets no requests after %d failures", e.ID, e.Failures)
		case e.ReportAgeMs < 0 || e.ReportAgeMs > staleReport.Milliseconds():
			s.problem("engine %s sends no reports", e.ID)
		}
	}
	for _, m := range s.Moves {
		if !m.State.Ended() && time.Now().After(m.Deadline) {
			s.problem("move %s is past its deadline", m.ID)
		}
	}
}

// logDown reports whether the log service has not answered for a while.
func (s *Status) logDown() bool {
	return s.Lease.TailReadAge < 0 || s.Lease.TailReadAge > silentLog
}

func (s *Status) problem(format string, args ...any) {
	s.Problems = append(s.Problems, fmt.Sprintf(format, args...))
}
