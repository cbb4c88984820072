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

// maxReplacements bounds the daemons that are replaced in a run.
const maxReplacements = 4

// fleetConfig describes the simulated fleet of a run.
type fleetConfig struct {
	daemons int
	// fullMeshLimit is the FullMeshLimit of every daemon.
	fullMeshLimit int
	// prepare is called for each Membership before it runs; it may be nil.
	prepare func(*member.Membership)
}

var (
	small = fleetConfig{daemons: 5}
	// grouped has nine daemons in four groups.
	grouped = fleetConfig{daemons: 9, fullMeshLimit: 1}
)

// step is one random fault or change. Each set bit of Mask selects the daemon of that index.
type step struct {
	Kind string
	Mask uint16
	For  time.Duration
}

var stepKinds = []string{
	"partition", "heal", "cutOneWay", "pause", "resume", "restart", "logDown", "logUp", "logOnly",
	"late", "lose", "prompt", "write", "write", "write", "write", "replace",
}

func (fc fleetConfig) drawScript(rt *rapid.T) []step {
	one := rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			Mask: rapid.Uint16Range(0, 1<<fc.daemons-1).Draw(rt, "mask"),
			For:  time.Duration(rapid.IntRange(50, 7000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(rt, "script")
}

func (s *sim) selectNodes(mask uint16) []int {
	var selected []int
	for i := range s.nodes {
		if mask&(1<<i) != 0 {
			selected = append(selected, i)
		}
	}
	return selected
}

// applyStep applies one step, runs the fleet for its duration and returns the first violation, "" if there was none.
func (s *sim) applyStep(i int, st step) string {
	selected := s.selectNodes(st.Mask)
	switch st.Kind {
	case "partition":
		s.partition(selected...)
	case "heal":
		s.partition()
	case "cutOneWay":
		s.mu.Lock()
		for _, p := range selected {
			s.cutLinks[[2]ident.DaemonID{s.nodes[p].id, s.nodes[(p+1)%len(s.nodes)].id}] = true
		}
		s.mu.Unlock()
	case "pause":
		for _, p := range selected[:min(2, len(selected))] {
			s.nodes[p].pause()
		}
	case "resume":
		for _, n := range s.nodes {
			n.resume()
		}
	case "restart":
		s.restart(selected[:min(3, len(selected))])
	case "logDown":
		s.limitLogTo()
	case "logUp":
		s.limitLogTo(s.allIndexes()...)
	case "logOnly":
		s.limitLogTo(selected...)
	case "late":
		s.setAppendFaults(st.For*2, true)
	case "lose":
		s.setAppendFaults(0, true)
	case "prompt":
		s.setAppendFaults(0, false)
	case "replace":
		s.replace(selected)
	case "write":
		s.writeSettingAsync(int(st.Mask)%len(s.nodes), fmt.Sprint(st.Mask%4), i)
	}
	return s.runFor(st.For)
}

func (s *sim) restart(selected []int) {
	for _, p := range selected {
		s.nodes[p].crash()
	}
	for _, p := range selected {
		if n := s.nodes[p]; !n.decommissioned {
			n.resume()
			n.start()
		}
	}
}

// replace stops the first selected daemon for good and adds a new one.
func (s *sim) replace(selected []int) {
	if len(selected) == 0 || len(s.nodes) == s.initialNodes+maxReplacements {
		return
	}
	old := s.nodes[selected[0]]
	old.crash()
	old.resume()
	s.mu.Lock()
	old.decommissioned = true
	s.mu.Unlock()
	s.addNode().start()
}

// declareGoneDead declares the replaced daemons dead, as an operator does.
func (s *sim) declareGoneDead() {
	for _, n := range s.nodes {
		if n.decommissioned {
			s.declareDead(n.id)
		}
	}
}

func (s *sim) declareDead(id ident.DaemonID) {
	p := s.remaining()[0].process
	s.waitUntil(time.Minute, func() bool {
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

func (s *sim) setAppendFaults(delay time.Duration, loseAcks bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendDelay, s.loseAppendAcks = delay, loseAcks
}

// endFaults ends all faults.
func (s *sim) endFaults() {
	s.partition()
	s.limitLogTo(s.allIndexes()...)
	s.setAppendFaults(0, false)
	for _, n := range s.nodes {
		n.resume()
	}
}

// runScript applies the steps and returns the first violation, "" if there was none.
func (s *sim) runScript(script []step) string {
	for i, st := range script {
		if v := s.applyStep(i, st); v != "" {
			return fmt.Sprintf("step %d %+v: %s", i, st, v)
		}
	}
	return ""
}

// runScript runs the script and then requires that the fleet recovers once the faults end, and that it serves through
// a log outage afterwards. It returns the first violation, "" if there was none.
func (fc fleetConfig) runScript(t *testing.T, rule member.Rule, seed uint64, script []step) (violation string) {
	t.Helper()
	if rule != member.RuleNone {
		defer guard.Capture(func(*guard.ViolationError) {})()
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, fc.daemons, seed, rule)
		s.fullMeshLimit = fc.fullMeshLimit
		defer s.close()
		s.boot()
		if violation = s.runScript(script); violation != "" {
			return
		}
		s.endFaults()
		if violation = s.runFor(15 * time.Second); violation != "" {
			return
		}
		s.declareGoneDead()
		if !s.waitUntil(time.Minute, s.converged) {
			violation = "the fleet did not recover after the faults:" + s.describe()
			return
		}
		s.limitLogTo()
		if violation = s.runFor(10 * time.Second); violation == "" && len(s.servingNodes()) < len(s.remaining()) {
			violation = "not all daemons serve with the log down:" + s.describe()
		}
	})
	return violation
}

// converged reports whether all daemons serve, have the newest state in force and are its only witnesses.
func (s *sim) converged() bool {
	present := s.remaining()
	newest := present[0].process.follower.State()
	for _, n := range present {
		f := n.process.follower
		if !n.process.holder.Valid() || f.State().Offset() != newest.Offset() || f.InForce().Offset() != newest.Offset() {
			return false
		}
	}
	return len(member.Witnesses(newest)) == len(present)
}

func (fc fleetConfig) checkRandomScripts(t *testing.T) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		script := fc.drawScript(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		if v := fc.runScript(t, member.RuleNone, seed, script); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestNoLeaseHolderServesBehindARecordInForce guards against a daemon that serves without a record in force, after
// any random sequence of partitions, pauses, restarts, replacements and faults of the log.
func TestNoLeaseHolderServesBehindARecordInForce(t *testing.T) { small.checkRandomScripts(t) }

// TestNoLeaseHolderServesBehindARecordInForceWithGroups does the same with relayed acknowledgements.
func TestNoLeaseHolderServesBehindARecordInForceWithGroups(t *testing.T) {
	grouped.checkRandomScripts(t)
}
