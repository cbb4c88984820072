package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Times of the simulated fleet.
const (
	simulatedLeaseTTL = 3 * time.Second
	maxApplyDelay     = 2 * time.Second
	inForceDelay      = 5 * time.Second
)

// actionKind is the kind of a step in a script.
type actionKind int

const (
	actAdmit actionKind = iota
	// actFlood sends several requests to every daemon.
	actFlood
	// actSpendAll spends all that a daemon can admit at once.
	actSpendAll
	actSleep
	actCrash
	actRestart
	actPartition
	actHeal
	actLeave
	actJoin
	actLimit
	actLogDown
	actLogUp
)

// action is a step with its parameters; each kind uses those that it needs.
type action struct {
	kind   actionKind
	daemon int
	tokens ident.Tokens
	used   ident.Tokens
	wait   time.Duration
}

func (sim *simulation) perform(a action) {
	id := daemonIDs(simulatedDaemons)[a.daemon]
	n := sim.state.nodes[id]
	switch a.kind {
	case actAdmit:
		sim.admit(n, a)
	case actFlood:
		for _, a.tokens = range []ident.Tokens{200, 50, 12, 3} {
			a.used = a.tokens
			sim.flood(a)
		}
	case actSpendAll:
		sim.spendAll(n.limiter)
	case actSleep:
		time.Sleep(a.wait)
	case actCrash:
		sim.crash(id)
	case actRestart:
		sim.crash(id)
		sim.startDaemon(id)
	case actPartition:
		sim.state.Lock()
		if !n.partitioned {
			n.partitioned, n.partitionedAt = true, time.Now()
		}
		sim.state.Unlock()
	case actHeal:
		sim.heal(n)
	case actLeave:
		sim.commit(func(s *testState) *testState {
			if len(s.members) == 1 {
				return s
			}
			return s.without(id)
		})
	case actJoin:
		sim.commit(func(s *testState) *testState { return s.with(id) })
	case actLimit:
		if now := time.Now(); now.After(sim.oracle.limits[len(sim.oracle.limits)-1].validFrom) {
			sim.setLimit(Limit{Rate: 20 + ident.TokensPerSecond(a.tokens), Burst: 200 + 20*a.used})
		}
	case actLogDown, actLogUp:
		sim.state.Lock()
		sim.state.logDown = a.kind == actLogDown
		sim.state.Unlock()
	default:
	}
}

// runScript plays a script and returns the first violation; "" when there is none.
func runScript(t *testing.T, seed uint64, limit Limit, script []action, mutate func(*simulation)) string {
	t.Helper()
	failure := ""
	synctest.Test(t, func(*testing.T) {
		defer guard.Capture(func(v *guard.ViolationError) { failure = v.Error() })()
		sim := newSimulation(seed, limit)
		if mutate != nil {
			mutate(sim)
		}
		time.Sleep(2*time.Second + time.Duration(limit.Burst)*time.Second/time.Duration(limit.Rate))
		for i, a := range script {
			sim.perform(a)
			if over, at := sim.oracle.excess(); over > 0 && failure == "" {
				failure = fmt.Sprintf("step %d (%+v): %d tokens above the limit %s", i, a, over, at)
			}
			if failure != "" {
				break
			}
		}
		for id := range sim.state.nodes {
			sim.crash(id)
		}
		sim.requests.Wait()
		sim.close()
		time.Sleep(time.Minute)
	})
	return failure
}

// actionWeights lists each action as often as it is drawn in proportion to the others.
var actionWeights = []actionKind{
	actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actFlood, actFlood, actFlood,
	actSleep, actSleep, actSleep, actSleep, actSleep, actSleep,
	actCrash, actRestart, actRestart, actPartition, actHeal, actHeal, actLeave, actJoin, actJoin, actLimit, actLogDown, actLogUp,
}

func drawScript(rt *rapid.T) []action {
	anyAction := rapid.Custom(func(rt *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(actionWeights).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, simulatedDaemons-1).Draw(rt, "daemon"),
			tokens: ident.Tokens(rapid.IntRange(1, 150).Draw(rt, "tokens")),
			used:   ident.Tokens(rapid.IntRange(0, 100).Draw(rt, "used")),
			wait:   time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(anyAction, 50, 400).Draw(rt, "script")
}

// Guards against tokens that are issued twice or without cover after crashes, partitions, lost or repeated messages
// and changes of members and limits: no interval of t seconds may admit more than burst + rate × t.
func TestNoIntervalExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if failure := runScript(t, seed, initialLimit, drawScript(rt), nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}
