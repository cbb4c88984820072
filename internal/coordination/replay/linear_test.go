package replay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// change is an operation on one path: a write based on a record, or a read if it has no id.
type change struct {
	path     ident.Path
	id, base ident.RecordID
}

// outcome is the answer to a change.
type outcome struct {
	kind string
	// read is the record that a read found.
	read ident.RecordID
}

// The kinds of outcomes.
const (
	outcomeTaken    = "taken"
	outcomeConflict = "conflict"
	outcomeNothing  = "nothing"
	outcomeUnknown  = "unknown"
	outcomeRead     = "read"
)

// pathModel says that each path is a register with compare-and-set.
var pathModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPath := map[ident.Path][]porcupine.Operation{}
		for _, op := range history {
			path := op.Input.(change).path
			byPath[path] = append(byPath[path], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byPath {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{ident.RecordID("")} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(ident.RecordID), input.(change), output.(outcome)
		matches := in.base == now
		switch {
		case out.kind == outcomeRead && out.read == now, out.kind == outcomeNothing:
			return []any{now}
		case out.kind == outcomeTaken && matches:
			return []any{in.id}
		case out.kind == outcomeConflict && !matches:
			return []any{now}
		case out.kind == outcomeUnknown && matches:
			return []any{now, in.id}
		case out.kind == outcomeUnknown:
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// history collects the operations of a run.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in change, out outcome, call, ret time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: ret.UnixNano(),
	})
}

// write changes a path from what the daemon knows and returns what became of it.
func (d *daemon) write(path ident.Path) (change, outcome) {
	in := change{path: path, id: NewRecordID()}
	state := d.follower.State()
	if node := state.Node(path); node != nil {
		in.base = node.Record
	}
	rec := config.NewRecord(in.id, "o", state.Revision(path), &config.Setting{Path: path, Value: "1"})
	_, err := d.writer.Write(context.Background(), rec)
	var conflict *config.ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return in, outcome{kind: outcomeTaken}
	case errors.As(err, &conflict):
		return in, outcome{kind: outcomeConflict}
	case errors.As(err, &unavailable):
		return in, outcome{kind: outcomeNothing}
	default:
		return in, outcome{kind: outcomeUnknown}
	}
}

// read returns the record at the path once a read of the tail that was started after the call has been applied.
func (d *daemon) read(path ident.Path) outcome {
	started := time.Now()
	for !d.follower.TailReadStarted().After(started) {
		d.follower.TriggerRead()
		time.Sleep(10 * time.Millisecond)
	}
	out := outcome{kind: outcomeRead}
	if node := d.follower.State().Node(path); node != nil {
		out.read = node.Record
	}
	return out
}

func upTo(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// randomFaults delays, refuses and loses calls.
func randomFaults(rng *rand.Rand) func(fakes.Operation) fakes.Fault {
	var mu sync.Mutex
	return func(op fakes.Operation) fakes.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := fakes.Fault{Delay: upTo(rng, 50*time.Millisecond), Refused: rng.IntN(8) == 0}
		if op == fakes.OperationAppend && rng.IntN(4) == 0 {
			fault.Delay = upTo(rng, 15*time.Second)
		}
		fault.Lost = rng.IntN(6) == 0
		return fault
	}
}

// runClients lets clients change and read few paths through three daemons and returns what they saw.
func runClients(seed uint64) []porcupine.Operation {
	log := &fakes.Log{AppendsPerSecond: 50}
	defer log.Close()
	rng := rand.New(rand.NewPCG(seed, 2))
	var daemons []*daemon
	for i := range 3 {
		d := newDaemon(log, ident.DaemonID(fmt.Sprint(i)), nil)
		d.client.Fault = randomFaults(rand.New(rand.NewPCG(seed, uint64(i+3))))
		d.start()
		defer d.close()
		daemons = append(daemons, d)
	}
	var h history
	var clients sync.WaitGroup
	for c := range 5 {
		seed := rng.Uint64()
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 4))
			for range 8 {
				d := daemons[rng.IntN(len(daemons))]
				path := ident.Path(fmt.Sprint("/platform/settings/", rng.IntN(2)))
				call := time.Now()
				if rng.IntN(3) == 0 {
					h.add(c, change{path: path}, d.read(path), call, time.Now())
					continue
				}
				in, out := d.write(path)
				ret := time.Now()
				if out.kind == outcomeUnknown {
					ret = call.Add(time.Hour)
				}
				h.add(c, in, out, call, ret)
				time.Sleep(upTo(rng, time.Second))
			}
		})
	}
	clients.Wait()
	return h.ops
}

func TestChangesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = runClients(seed) })
		if !porcupine.CheckOperations(pathModel, ops) {
			rt.Fatalf("not linearizable: %+v", ops)
		}
	})
}

// TestTheLinearizabilityCheckFindsAStaleRead shows that the check can fail.
func TestTheLinearizabilityCheckFindsAStaleRead(t *testing.T) {
	var h history
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	h.add(0, change{path: "/a", id: "1"}, outcome{kind: outcomeTaken}, at(0), at(1))
	h.add(1, change{path: "/a"}, outcome{kind: outcomeRead, read: ""}, at(2), at(3))
	if porcupine.CheckOperations(pathModel, h.ops) {
		t.Fatal("a read of what was there before a finished change was let pass")
	}
}
