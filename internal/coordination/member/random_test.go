package member_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// maxReplaced bounds the daemons that are replaced in a run.
const maxReplaced = 4

// size is that of the fleet of a run.
type size struct {
	daemons int
	// direct is the size up to which heartbeats go from all to all; 0 is the program's.
	direct int
	// prepare is called for each fleet before it runs; nil for nothing.
	prepare func(*member.Membership)
}

var (
	small = size{daemons: 5}
	// grouped has four groups.
	grouped = size{daemons: 9, direct: 1}
)

// step is one random fault or change; mask selects daemons by bits.
type step struct {
	Kind string
	Mask uint16
	For  time.Duration
}

var stepKinds = []string{
	"partition", "heal", "cutOneWay", "pause", "resume", "restart", "logDown", "logUp", "logOnly",
	"late", "lose", "prompt", "write", "write", "write", "write", "replace",
}

func (z size) drawScript(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			Mask: rapid.Uint16Range(0, 1<<z.daemons-1).Draw(rt, "mask"),
			For:  time.Duration(rapid.IntRange(50, 7000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(rt, "script")
}

func (s *sim) picked(mask uint16) []int {
	var picked []int
	for i := range s.nodes {
		if mask&(1<<i) != 0 {
			picked = append(picked, i)
		}
	}
	return picked
}

// take does one step and returns a violation that was seen until it ended.
func (s *sim) take(i int, st step) string {
	picked := s.picked(st.Mask)
	switch st.Kind {
	case "partition":
		s.partition(picked...)
	case "heal":
		s.partition()
	case "cutOneWay":
		s.mu.Lock()
		for _, p := range picked {
			s.cut[[2]ident.DaemonID{s.nodes[p].id, s.nodes[(p+1)%len(s.nodes)].id}] = true
		}
		s.mu.Unlock()
	case "pause":
		for _, p := range picked[:min(2, len(picked))] {
			s.nodes[p].pause()
		}
	case "resume":
		for _, n := range s.nodes {
			n.resume()
		}
	case "restart":
		s.restart(picked[:min(3, len(picked))])
	case "logDown":
		s.logOnly()
	case "logUp":
		s.logOnly(s.all()...)
	case "logOnly":
		s.logOnly(picked...)
	case "late":
		s.setAppends(st.For*2, true)
	case "lose":
		s.setAppends(0, true)
	case "prompt":
		s.setAppends(0, false)
	case "replace":
		s.replace(picked)
	case "write":
		s.set(int(st.Mask)%len(s.nodes), fmt.Sprint(st.Mask%4), i)
	}
	return s.run(st.For)
}

func (s *sim) restart(picked []int) {
	for _, p := range picked {
		s.nodes[p].crash()
	}
	for _, p := range picked {
		if n := s.nodes[p]; !n.gone {
			n.resume()
			n.start()
		}
	}
}

// replace puts a new daemon in the place of one that never comes back.
func (s *sim) replace(picked []int) {
	if len(picked) == 0 || len(s.nodes) == s.booted+maxReplaced {
		return
	}
	old := s.nodes[picked[0]]
	old.crash()
	old.resume()
	s.mu.Lock()
	old.gone = true
	s.mu.Unlock()
	s.add().start()
}

// buryGone declares the replaced daemons dead, as an operator does.
func (s *sim) buryGone() {
	for _, n := range s.nodes {
		if n.gone {
			s.bury(n.id)
		}
	}
}

func (s *sim) bury(id ident.DaemonID) {
	p := s.present()[0].process
	s.within(time.Minute, func() bool {
		m, ok := p.follower.State().Member(id)
		if !ok || m.State == config.MemberDead {
			return true
		}
		dead := *m
		dead.State = config.MemberDead
		base := p.follower.State().Revision(config.PathOf(m))
		_, _ = p.writer.Write(context.Background(), config.NewRecord(replay.NewRecordID(), "operator", base, &dead))
		return false
	})
}

func (s *sim) setAppends(late time.Duration, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.lose = late, lose
}

// calm ends all faults.
func (s *sim) calm() {
	s.partition()
	s.logOnly(s.all()...)
	s.setAppends(0, false)
	for _, n := range s.nodes {
		n.resume()
	}
}

// play runs a script and returns the first violation, "" if there was none.
func (s *sim) play(script []step) string {
	for i, st := range script {
		if v := s.take(i, st); v != "" {
			return fmt.Sprintf("step %d %+v: %s", i, st, v)
		}
	}
	return ""
}

func (z size) play(t *testing.T, rule member.Rule, seed uint64, script []step) (violation string) {
	t.Helper()
	if rule != member.RuleNone {
		defer guard.Capture(func(*guard.ViolationError) {})()
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, z.daemons, seed, rule)
		s.direct = z.direct
		defer s.close()
		s.boot()
		if violation = s.play(script); violation != "" {
			return
		}
		s.calm()
		if violation = s.run(15 * time.Second); violation != "" {
			return
		}
		s.buryGone()
		if !s.within(time.Minute, s.settled) {
			violation = "no liveness after the faults:" + s.describe()
			return
		}
		s.logOnly()
		if violation = s.run(10 * time.Second); violation == "" && len(s.serving()) < len(s.present()) {
			violation = "not all serve with the log down:" + s.describe()
		}
	})
	return violation
}

// settled reports whether all daemons serve and have the newest state in force.
func (s *sim) settled() bool {
	present := s.present()
	newest := present[0].process.follower.State()
	for _, n := range present {
		f := n.process.follower
		if !n.process.holder.Valid() || f.State().Offset() != newest.Offset() || f.InForce().Offset() != newest.Offset() {
			return false
		}
	}
	return len(member.Witnesses(newest)) == len(present)
}

func (z size) check(t *testing.T) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		script := z.drawScript(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		if v := z.play(t, member.RuleNone, seed, script); v != "" {
			rt.Fatal(v)
		}
	})
}

func TestNoLeaseHolderIsBehindWhatIsInForce(t *testing.T) { small.check(t) }

func TestNoLeaseHolderIsBehindInAFleetOfGroups(t *testing.T) { grouped.check(t) }
