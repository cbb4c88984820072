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

// actionKind is the kind of one step of a random script.
type actionKind int

const (
	actClaim actionKind = iota
	actSleep
	actCrash
	actRestart
	actLeave
	actPartition
	actHeal
	actLogDown
	actLogUp
	actLateAppendsOn
	actLateAppendsOff
)

var actionWeights = []actionKind{
	actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim, actClaim,
	actSleep, actSleep, actSleep, actSleep, actCrash, actRestart, actRestart, actLeave, actLeave, actPartition, actHeal, actHeal,
	actLogDown, actLogUp, actLogUp, actLateAppendsOn, actLateAppendsOff,
}

// action is a step with its parameters; each kind uses those that it needs.
type action struct {
	kind   actionKind
	daemon int
	key    int
	notRun bool
	wait   time.Duration
}

// outcome is the result of an operation in the porcupine model.
type outcome int

const (
	outcomeGranted outcome = iota
	outcomeTaken
	outcomeUnknown
	outcomeFreed
)

// operation is the input of an operation in the porcupine model.
type operation struct{ key string }

// keyState is the state of one key in the model. maybeHeld says that a claim without a response may hold it.
type keyState struct{ held, maybeHeld bool }

// claimModel has one register for each key; the first claim takes it.
var claimModel = porcupine.Model{
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
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s := state.(keyState)
		switch output.(outcome) {
		case outcomeGranted:
			return !s.held, keyState{held: true, maybeHeld: s.maybeHeld}
		case outcomeTaken:
			return s.held || s.maybeHeld, s
		case outcomeUnknown:
			return true, keyState{held: s.held, maybeHeld: true}
		default:
			// The message that frees a key may be lost.
			return s.held, keyState{maybeHeld: true}
		}
	},
}

// harness runs a script of claims and faults on a fleet and records the history of operations.
type harness struct {
	*fleet
	start        time.Time
	background   sync.WaitGroup
	incarnations map[ident.DaemonID]ident.Incarnation
	// sliceFault is applied to all slices every 10 ms; nil for none.
	sliceFault func(s *slice)

	scriptEnded atomic.Bool

	historyMu sync.Mutex
	history   []porcupine.Operation
}

// maxViewDelay is how much later than others a daemon may learn of a change of members.
const maxViewDelay = 2 * time.Second

const harnessDaemons = 4

func (h *harness) recordOperation(client int, key string, call time.Duration, out outcome) {
	h.historyMu.Lock()
	defer h.historyMu.Unlock()
	h.history = append(h.history, porcupine.Operation{
		ClientId: client, Input: operation{key: key}, Call: int64(call), Output: out, Return: int64(time.Since(h.start)),
	})
}

// claim claims a key. When the claim is granted, it ends it either as run or as not run.
func (h *harness) claim(step int, a action) {
	id := h.daemonIDs()[a.daemon]
	h.mu.Lock()
	c := h.claimers[id]
	h.mu.Unlock()
	if c == nil {
		return
	}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		name, request := fmt.Sprint("key", a.key), ident.RequestID(fmt.Sprint("request", step))
		call := time.Since(h.start)
		d, err := c.Claim(ctx, "survey", ident.DigestOf(name), ident.DigestOf("body"), request)
		switch {
		case err != nil:
			h.recordOperation(step, name, call, outcomeUnknown)
		case d == Granted{}:
			h.recordOperation(step, name, call, outcomeGranted)
			call = time.Since(h.start)
			if a.notRun {
				c.Finish(ctx, "survey", ident.DigestOf(name), request, nil, true)
				h.recordOperation(step, name, call, outcomeFreed)
				return
			}
			c.Finish(ctx, "survey", ident.DigestOf(name), request, &wire.KeptAnswer{Status: 200}, false)
		default:
			h.recordOperation(step, name, call, outcomeTaken)
		}
	})
}

// injectSliceFaults applies sliceFault to the slices of all daemons until the script has ended.
func (h *harness) injectSliceFaults() {
	for !h.scriptEnded.Load() {
		h.mu.Lock()
		claimers := slices.Collect(maps.Values(h.claimers))
		h.mu.Unlock()
		for _, c := range claimers {
			for i := range c.slices {
				c.slices[i].mu.Lock()
				h.sliceFault(&c.slices[i])
				c.slices[i].mu.Unlock()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// clearBlock is the fault of an owner that decides claims although earlier ones may be lost.
func clearBlock(s *slice) { s.blockedUntil = time.Time{} }

// answerBeforeDurable is the fault of an owner that grants claims that are neither logged nor copied.
func answerBeforeDurable(s *slice) {
	for _, c := range s.claims {
		c.markDurable()
	}
}

func (h *harness) daemonIDs() []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, harnessDaemons)
	for i := range harnessDaemons {
		ids = append(ids, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	return ids
}

// updateMembers makes the daemons that run and are connected the members.
func (h *harness) updateMembers() {
	var members []ident.DaemonID
	h.mu.Lock()
	for _, id := range h.daemonIDs() {
		if h.claimers[id] != nil && !h.partitioned[id] {
			members = append(members, id)
		}
	}
	same := slices.Equal(members, h.members)
	h.mu.Unlock()
	if len(members) > 0 && !same {
		h.setMembers(members, 5*time.Second)
	}
}

func (h *harness) runAction(step int, a action) {
	id := h.daemonIDs()[a.daemon]
	switch a.kind {
	case actClaim:
		h.claim(step, a)
	case actSleep:
		time.Sleep(a.wait)
	case actCrash:
		h.crash(id)
		time.AfterFunc(a.wait, h.updateMembers)
	case actRestart, actLeave:
		if a.kind == actLeave {
			h.releaseSlices(id)
		}
		h.crash(id)
		h.incarnations[id]++
		h.fleet.start(id, h.incarnations[id])
		h.mu.Lock()
		members := h.members
		h.mu.Unlock()
		h.setMembers(members, 5*time.Second)
		time.AfterFunc(a.wait, h.updateMembers)
	case actPartition, actHeal:
		h.setPartitioned(id, a.kind == actPartition)
		time.AfterFunc(a.wait, h.updateMembers)
	case actLogDown, actLogUp:
		h.log.update(func(l *memoryLog) { l.down = a.kind == actLogDown })
	case actLateAppendsOn, actLateAppendsOff:
		h.log.update(func(l *memoryLog) {
			l.lateBy = 0
			if a.kind == actLateAppendsOn {
				l.lateBy = a.wait
			}
		})
	}
}

// runScript runs a script and returns the first violation: of an invariant or of linearizability; empty if there is
// none.
func runScript(t *testing.T, seed uint64, script []action, mutate func(*harness)) string {
	t.Helper()
	failure := ""
	synctest.Test(t, func(*testing.T) {
		defer guard.Capture(func(v *guard.ViolationError) { failure = v.Error() })()
		h := &harness{fleet: newFleet(harnessDaemons, DefaultRetention), start: time.Now(), incarnations: make(map[ident.DaemonID]ident.Incarnation)}
		for _, id := range h.daemonIDs() {
			h.incarnations[id] = 1
			h.mu.Lock()
			h.viewDelays[id] = time.Duration(seed % uint64(maxViewDelay))
			h.mu.Unlock()
			seed = seed*6364136223846793005 + 1442695040888963407
		}
		if mutate != nil {
			mutate(h)
		}
		if h.sliceFault != nil {
			h.background.Go(h.injectSliceFaults)
		}
		time.Sleep(openingTime)
		for step, a := range script {
			h.runAction(step, a)
		}
		h.scriptEnded.Store(true)
		h.background.Wait()
		time.Sleep(4 * time.Second)
		for _, id := range h.daemonIDs() {
			h.crash(id)
		}
		h.runs.Wait()
		time.Sleep(time.Minute)
		if porcupine.CheckOperationsTimeout(claimModel, h.history, 10*time.Second) == porcupine.Illegal && failure == "" {
			failure = "the claims of a key are not linearizable"
		}
	})
	return failure
}

func drawScript(rt *rapid.T) []action {
	drawAction := rapid.Custom(func(rt *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(actionWeights).Draw(rt, "kind"),
			daemon: rapid.IntRange(0, harnessDaemons-1).Draw(rt, "daemon"),
			key:    rapid.IntRange(0, 5).Draw(rt, "key"),
			notRun: rapid.IntRange(0, 3).Draw(rt, "notRun") == 0,
			wait:   time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(drawAction, 20, 100).Draw(rt, "script")
}

// TestRequestsRunAtMostOnce guards against two grants of one key while daemons crash, restart, leave or lose their
// connection and while the log service is down or appends with delay.
func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if failure := runScript(t, rapid.Uint64().Draw(rt, "seed"), drawScript(rt), nil); failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestLostClaimsAreDetected checks that the harness finds owners that grant a key twice after claims were lost, and that
// the same scripts pass without a fault.
func TestLostClaimsAreDetected(t *testing.T) {
	// All daemons restart while the log service is down, so that the claims, which only their owners and backups hold,
	// are lost. A new owner that does not wait for the retention grants them again.
	lostOwnerAndBackup := []action{
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
	require.Empty(t, runScript(t, 0, lostOwnerAndBackup, nil))
	require.NotEmpty(t, runScript(t, 0, lostOwnerAndBackup, func(h *harness) { h.sliceFault = clearBlock }), "a new owner that does not wait for the retention")

	// An owner crashes 40 ms after claims arrived, when they are neither logged nor copied. If it had
	// granted them already, the next owner grants them again.
	detected := false
	for daemon := range harnessDaemons {
		script := []action{{kind: actLogDown}}
		for key := range 6 {
			script = append(script, action{kind: actClaim, daemon: (daemon + 1) % harnessDaemons, key: key})
		}
		script = append(script, action{kind: actSleep, wait: 40 * time.Millisecond},
			action{kind: actCrash, daemon: daemon, wait: time.Second}, action{kind: actLogUp}, action{kind: actSleep, wait: 9 * time.Second})
		for key := range 6 {
			script = append(script, action{kind: actClaim, daemon: (daemon + 1) % harnessDaemons, key: key})
		}
		require.Empty(t, runScript(t, 0, script, nil))
		detected = detected || runScript(t, 0, script, func(h *harness) { h.sliceFault = answerBeforeDurable }) != ""
	}
	require.True(t, detected, "an owner that answers before its claim is durable")
}
