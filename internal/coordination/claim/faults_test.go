package claim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// actionKind is a step of a random run.
type actionKind int

const (
	actClaim actionKind = iota
	actSleep
	actCrash
	actRestart
	actLeave
	actCut
	actHeal
	actLogDown
	actLogUp
	actLateOn
	actLateOff
)

var weights = []actionKind{
	actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim,
	actSleep, actSleep, actSleep, actSleep, actCrash, actRestart, actRestart, actLeave, actLeave, actCut, actHeal, actHeal,
	actLogDown, actLogUp, actLogUp, actLateOn, actLateOff,
}

// action is a step with its parameters; each kind uses those that it needs.
type action struct {
	kind   actionKind
	daemon int
	key    int
	notRun bool
	wait   time.Duration
}

// outcome is the answer to a claim, as the porcupine model sees it.
type outcome int

const (
	granted outcome = iota
	taken
	unknown
	freed
)

// operation is the input of the model.
type operation struct{ key string }

// claimed is the state of one key in the model. maybe says that a claim without an answer may hold it.
type claimed struct{ held, maybe bool }

// model is a register per key that the first claim takes.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return claimed{} },
	Step: func(state, _, output any) (bool, any) {
		s := state.(claimed)
		switch output.(outcome) {
		case granted:
			return !s.held, claimed{held: true, maybe: s.maybe}
		case taken:
			return s.held || s.maybe, s
		case unknown:
			return true, claimed{held: s.held, maybe: true}
		default:
			// The message that frees a key may be lost.
			return s.held, claimed{maybe: true}
		}
	},
}

// bench plays a script on a fleet.
type bench struct {
	*fleet
	start   time.Time
	running sync.WaitGroup
	incarn  map[ident.DaemonID]ident.Incarnation
	// fault is applied to all slices all the time; nil for none.
	fault func(s *slice)

	done atomic.Bool

	historyMu sync.Mutex
	history   []porcupine.Operation
}

// longestLag is how much later than others a daemon may learn of a change.
const longestLag = 2 * time.Second

const benchDaemons = 4

func (b *bench) record(client int, key string, call time.Duration, out outcome) {
	b.historyMu.Lock()
	defer b.historyMu.Unlock()
	b.history = append(b.history, porcupine.Operation{
		ClientId: client, Input: operation{key: key}, Call: int64(call), Output: out, Return: int64(time.Since(b.start)),
	})
}

// claim claims a key and, when granted, runs the request or gives it up before it runs.
func (b *bench) claim(step int, a action) {
	id := b.ids()[a.daemon]
	b.mu.Lock()
	c := b.claimers[id]
	b.mu.Unlock()
	if c == nil {
		return
	}
	b.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		name, request := fmt.Sprint("key", a.key), ident.RequestID(fmt.Sprint("request", step))
		call := time.Since(b.start)
		d, err := c.Claim(ctx, "survey", ident.DigestOf(name), ident.DigestOf("body"), request)
		switch {
		case err != nil:
			b.record(step, name, call, unknown)
		case d == Granted{}:
			b.record(step, name, call, granted)
			call = time.Since(b.start)
			if a.notRun {
				c.Finish(ctx, "survey", ident.DigestOf(name), request, nil, true)
				b.record(step, name, call, freed)
				return
			}
			c.Finish(ctx, "survey", ident.DigestOf(name), request, &wire.KeptAnswer{Status: 200}, false)
		default:
			b.record(step, name, call, taken)
		}
	})
}

// meddle applies the fault to the slices of all daemons until the script has ended.
func (b *bench) meddle() {
	for !b.done.Load() {
		b.mu.Lock()
		claimers := slices.Collect(maps.Values(b.claimers))
		b.mu.Unlock()
		for _, c := range claimers {
			for i := range c.slices {
				c.slices[i].mu.Lock()
				b.fault(&c.slices[i])
				c.slices[i].mu.Unlock()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// unblock makes a slice decide although claims may be lost.
func unblock(s *slice) { s.blockedUntil = time.Time{} }

// answerAtOnce makes a slice answer claims that are not safe.
func answerAtOnce(s *slice) {
	for _, c := range s.claims {
		c.markSafe()
	}
}

func (b *bench) ids() []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, benchDaemons)
	for i := range benchDaemons {
		ids = append(ids, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	return ids
}

// alive makes the running daemons the members.
func (b *bench) alive() {
	var members []ident.DaemonID
	b.mu.Lock()
	for _, id := range b.ids() {
		if b.claimers[id] != nil && !b.cut[id] {
			members = append(members, id)
		}
	}
	same := slices.Equal(members, b.members)
	b.mu.Unlock()
	if len(members) > 0 && !same {
		b.setMembers(members, 5*time.Second)
	}
}

func (b *bench) do(step int, a action) {
	id := b.ids()[a.daemon]
	switch a.kind {
	case actClaim:
		b.claim(step, a)
	case actSleep:
		time.Sleep(a.wait)
	case actCrash:
		b.crash(id)
		time.AfterFunc(a.wait, b.alive)
	case actRestart, actLeave:
		if a.kind == actLeave {
			b.leave(id)
		}
		b.crash(id)
		b.incarn[id]++
		b.fleet.start(id, b.incarn[id])
		b.mu.Lock()
		members := b.members
		b.mu.Unlock()
		b.setMembers(members, 5*time.Second)
		time.AfterFunc(a.wait, b.alive)
	case actCut, actHeal:
		b.setCut(id, a.kind == actCut)
		time.AfterFunc(a.wait, b.alive)
	case actLogDown, actLogUp:
		b.log.set(func(l *memoryLog) { l.down = a.kind == actLogDown })
	case actLateOn, actLateOff:
		b.log.set(func(l *memoryLog) {
			l.late = 0
			if a.kind == actLateOn {
				l.late = a.wait
			}
		})
	}
}

// run plays a script and returns what went wrong.
func run(t *testing.T, seed uint64, script []action, mutate func(*bench)) string {
	t.Helper()
	failure := ""
	synctest.Test(t, func(*testing.T) {
		defer guard.Capture(func(v *guard.ViolationError) { failure = v.Error() })()
		b := &bench{fleet: newFleet(benchDaemons, DefaultRetention), start: time.Now(), incarn: make(map[ident.DaemonID]ident.Incarnation)}
		for _, id := range b.ids() {
			b.incarn[id] = 1
			b.mu.Lock()
			b.lags[id] = time.Duration(seed % uint64(longestLag))
			b.mu.Unlock()
			seed = seed*6364136223846793005 + 1442695040888963407
		}
		if mutate != nil {
			mutate(b)
		}
		if b.fault != nil {
			b.running.Go(b.meddle)
		}
		time.Sleep(settle)
		for step, a := range script {
			b.do(step, a)
		}
		b.done.Store(true)
		b.running.Wait()
		time.Sleep(4 * time.Second)
		for _, id := range b.ids() {
			b.crash(id)
		}
		b.stopping.Wait()
		time.Sleep(time.Minute)
		if porcupine.CheckOperationsTimeout(model, b.history, 10*time.Second) == porcupine.Illegal && failure == "" {
			failure = "the claims of a key are not linearizable"
		}
	})
	return failure
}

func drawScript(rt *rapid.T) []action {
	one := rapid.Custom(func(rt *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(weights).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, benchDaemons-1).Draw(rt, "daemon"),
			key:    rapid.IntRange(0, 5).Draw(rt, "key"),
			notRun: rapid.IntRange(0, 3).Draw(rt, "notRun") == 0,
			wait:   time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 20, 100).Draw(rt, "script")
}

func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if failure := run(t, rapid.Uint64().Draw(rt, "seed"), drawScript(rt), nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}

func TestFaultyOwnersAreFound(t *testing.T) {
	// The owner and then its backup die while the log service is down; their claims are lost.
	lost := []action{
		{kind: actLogDown}, {kind: actSleep, wait: time.Second},
		{kind: actClaim, daemon: 2, key: 0}, {kind: actClaim, daemon: 2, key: 1}, {kind: actClaim, daemon: 2, key: 2},
		{kind: actClaim, daemon: 2, key: 3}, {kind: actClaim, daemon: 2, key: 4}, {kind: actClaim, daemon: 2, key: 5},
		{kind: actSleep, wait: 3 * time.Second},
		{kind: actRestart, daemon: 0, wait: time.Second}, {kind: actRestart, daemon: 1, wait: time.Second},
		{kind: actRestart, daemon: 2, wait: time.Second}, {kind: actRestart, daemon: 3, wait: time.Second},
		{kind: actLogUp}, {kind: actSleep, wait: 8 * time.Second},
		{kind: actClaim, daemon: 2, key: 0}, {kind: actClaim, daemon: 2, key: 1}, {kind: actClaim, daemon: 2, key: 2},
		{kind: actClaim, daemon: 2, key: 3}, {kind: actClaim, daemon: 2, key: 4}, {kind: actClaim, daemon: 2, key: 5},
		{kind: actSleep, wait: 3 * time.Second},
	}
	require.Empty(t, run(t, 0, lost, nil))
	require.NotEmpty(t, run(t, 0, lost, func(b *bench) { b.fault = unblock }), "a new owner that does not wait out the window")

	// An owner dies just after claims came; those that were neither logged nor copied are lost.
	found := false
	for daemon := range benchDaemons {
		script := []action{{kind: actLogDown}}
		for key := range 6 {
			script = append(script, action{kind: actClaim, daemon: (daemon + 1) % benchDaemons, key: key})
		}
		script = append(script, action{kind: actSleep, wait: 40 * time.Millisecond},
			action{kind: actCrash, daemon: daemon, wait: time.Second}, action{kind: actLogUp}, action{kind: actSleep, wait: 9 * time.Second})
		for key := range 6 {
			script = append(script, action{kind: actClaim, daemon: (daemon + 1) % benchDaemons, key: key})
		}
		require.Empty(t, run(t, 0, script, nil))
		found = found || run(t, 0, script, func(b *bench) { b.fault = answerAtOnce }) != ""
	}
	require.True(t, found, "an owner that answers before its claim is safe")
}
