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

// Times of the fleet in the random runs.
const (
	leaseTTL     = 3 * time.Second
	longestApply = 2 * time.Second
	forceGrace   = 5 * time.Second
)

// actionKind is a step of a random run.
type actionKind int

const (
	actAdmit actionKind = iota
	// actStorm sends several requests to every daemon.
	actStorm
	// actDrain spends all that a daemon can admit at once.
	actDrain
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

func (b *bench) do(a action) {
	id := daemonIDs(benchDaemons)[a.daemon]
	n := b.state.nodes[id]
	switch a.kind {
	case actAdmit:
		b.admit(n, a)
	case actStorm:
		for _, a.tokens = range []ident.Tokens{200, 50, 12, 3} {
			a.used = a.tokens
			b.storm(a)
		}
	case actDrain:
		b.drain(n.limiter)
	case actSleep:
		time.Sleep(a.wait)
	case actCrash:
		b.crash(id)
	case actRestart:
		b.crash(id)
		b.boot(id)
	case actPartition:
		b.state.Lock()
		if !n.cut {
			n.cut, n.cutAt = true, time.Now()
		}
		b.state.Unlock()
	case actHeal:
		b.heal(n)
	case actLeave:
		b.commit(func(s *world) *world {
			if len(s.members) == 1 {
				return s
			}
			return s.without(id)
		})
	case actJoin:
		b.commit(func(s *world) *world { return s.with(id) })
	case actLimit:
		if now := time.Now(); now.After(b.oracle.limits[len(b.oracle.limits)-1].at) {
			b.setLimit(Limit{Rate: 20 + ident.TokensPerSecond(a.tokens), Burst: 200 + 20*a.used})
		}
	case actLogDown, actLogUp:
		b.state.Lock()
		b.state.logDown = a.kind == actLogDown
		b.state.Unlock()
	default:
	}
}

// run plays a script and returns what went wrong.
func run(t *testing.T, seed uint64, limit Limit, script []action, mutate func(*bench)) string {
	t.Helper()
	failure := ""
	synctest.Test(t, func(*testing.T) {
		defer guard.Capture(func(v *guard.ViolationError) { failure = v.Error() })()
		b := newBench(seed, limit)
		if mutate != nil {
			mutate(b)
		}
		time.Sleep(2*time.Second + time.Duration(limit.Burst)*time.Second/time.Duration(limit.Rate))
		for i, a := range script {
			b.do(a)
			if over, at := b.oracle.over(); over > 0 && failure == "" {
				failure = fmt.Sprintf("step %d (%+v): %d tokens over %s", i, a, over, at)
			}
			if failure != "" {
				break
			}
		}
		for id := range b.state.nodes {
			b.crash(id)
		}
		b.running.Wait()
		b.close()
		time.Sleep(time.Minute)
	})
	return failure
}

// weights say how often each action is drawn.
var weights = []actionKind{
	actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actAdmit, actStorm, actStorm, actStorm,
	actSleep, actSleep, actSleep, actSleep, actSleep, actSleep,
	actCrash, actRestart, actRestart, actPartition, actHeal, actHeal, actLeave, actJoin, actJoin, actLimit, actLogDown, actLogUp,
}

func drawScript(rt *rapid.T) []action {
	one := rapid.Custom(func(rt *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(weights).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, benchDaemons-1).Draw(rt, "daemon"),
			tokens: ident.Tokens(rapid.IntRange(1, 150).Draw(rt, "tokens")),
			used:   ident.Tokens(rapid.IntRange(0, 100).Draw(rt, "used")),
			wait:   time.Duration(rapid.IntRange(1, 2500).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 50, 400).Draw(rt, "script")
}

func TestNoIntervalExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if failure := run(t, seed, randomLimit, drawScript(rt), nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}
