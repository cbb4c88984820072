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

// operation is an operation on one path: a compare-and-set of the record base by the record id, or a read if id is
// empty.
type operation struct {
	path     ident.Path
	id, base ident.RecordID
}

// response is the result of an operation.
type response struct {
	kind string
	// read is the record id that a read returned.
	read ident.RecordID
}

// The kinds of responses.
const (
	responseApplied    = "applied"
	responseConflict   = "conflict"
	responseNotWritten = "notWritten"
	responseUnknown    = "unknown"
	responseRead       = "read"
)

// registerModel is the sequential specification: each path is a register with compare-and-set. A write with an unknown
// outcome may have taken effect or not.
var registerModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPath := map[ident.Path][]porcupine.Operation{}
		for _, op := range history {
			path := op.Input.(operation).path
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
		now, in, out := state.(ident.RecordID), input.(operation), output.(response)
		matches := in.base == now
		switch {
		case out.kind == responseRead && out.read == now, out.kind == responseNotWritten:
			return []any{now}
		case out.kind == responseApplied && matches:
			return []any{in.id}
		case out.kind == responseConflict && !matches:
			return []any{now}
		case out.kind == responseUnknown && matches:
			return []any{now, in.id}
		case out.kind == responseUnknown:
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// history collects the operations of concurrent clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in operation, out response, call, ret time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call.UnixNano(), Return: ret.UnixNano(),
	})
}

// write writes a new record to the path, based on the record that the daemon has applied.
func (d *daemon) write(path ident.Path) (operation, response) {
	in := operation{path: path, id: NewRecordID()}
	state := d.follower.State()
	if node := state.Node(path); node != nil {
		in.base = node.RecordID
	}
	rec := config.NewRecord(in.id, "o", state.Revision(path), &config.Setting{Path: path, Value: "1"})
	_, err := d.writer.Write(context.Background(), rec)
	var conflict *config.ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return in, response{kind: responseApplied}
	case errors.As(err, &conflict):
		return in, response{kind: responseConflict}
	case errors.As(err, &unavailable):
		return in, response{kind: responseNotWritten}
	default:
		return in, response{kind: responseUnknown}
	}
}

// read returns the record at the path after the daemon has completed a read of the tail that started after this call.
func (d *daemon) read(path ident.Path) response {
	started := time.Now()
	for !d.follower.TailReadStarted().After(started) {
		d.follower.TriggerRead()
		time.Sleep(10 * time.Millisecond)
	}
	out := response{kind: responseRead}
	if node := d.follower.State().Node(path); node != nil {
		out.read = node.RecordID
	}
	return out
}

func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// randomFaults delays calls, rejects them and loses their responses.
func randomFaults(rng *rand.Rand) func(fakes.Operation) fakes.Fault {
	var mu sync.Mutex
	return func(op fakes.Operation) fakes.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := fakes.Fault{Delay: randomDuration(rng, 50*time.Millisecond), Refused: rng.IntN(8) == 0}
		if op == fakes.OperationAppend && rng.IntN(4) == 0 {
			fault.Delay = randomDuration(rng, 15*time.Second)
		}
		fault.Lost = rng.IntN(6) == 0
		return fault
	}
}

// runClients runs five clients that write and read two paths through three daemons, and returns their operations.
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
					h.add(c, operation{path: path}, d.read(path), call, time.Now())
					continue
				}
				in, out := d.write(path)
				ret := time.Now()
				if out.kind == responseUnknown {
					ret = call.Add(time.Hour)
				}
				h.add(c, in, out, call, ret)
				time.Sleep(randomDuration(rng, time.Second))
			}
		})
	}
	clients.Wait()
	return h.ops
}

// Guards against lost writes and stale reads: writes and reads of the tail through several daemons must be linearizable
// although the log service delays calls, rejects them and loses responses.
func TestWritesAndReadsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = runClients(seed) })
		if !porcupine.CheckOperations(registerModel, ops) {
			rt.Fatalf("not linearizable: %+v", ops)
		}
	})
}

// TestLinearizabilityCheckRejectsStaleRead verifies that the checker detects a read that misses a completed write.
func TestLinearizabilityCheckRejectsStaleRead(t *testing.T) {
	var h history
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	h.add(0, operation{path: "/a", id: "1"}, response{kind: responseApplied}, at(0), at(1))
	h.add(1, operation{path: "/a"}, response{kind: responseRead, read: ""}, at(2), at(3))
	if porcupine.CheckOperations(registerModel, h.ops) {
		t.Fatal("the check accepted a read that does not return a completed write")
	}
}
