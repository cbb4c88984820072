package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// drainTime is how long an upstream that leaves goes on serving.
	drainTime = 2 * time.Second
	// maxOverlap is how long an upstream may go on with a request that goes on elsewhere.
	maxOverlap = 400 * time.Millisecond
	// faultFreeze is the fault in which a worker stops for a time and then runs what it has got.
	faultFreeze = 1
)

type span struct{ from, to time.Time }

// worker is an upstream with its registration. Daemons reach it through a proxy.
type worker struct {
	*standin.FaultyUpstream
	t       *testing.T
	service string
	link    *proxy
	// busy is true while a fault is in force.
	busy atomic.Bool

	mu sync.Mutex
	// id and state are those of the registration; the state is empty if there is none.
	id, state string
	disturbances
}

// disturbances are the times in which an upstream or its link was disturbed.
type disturbances struct {
	disturbedMu sync.Mutex
	spans       []span
}

// run is one execution of a request at a worker.
type run struct {
	standin.Execution
	*disturbances
}

// String tells where and when the run was, in seconds of the minute.
func (r run) String() string {
	return fmt.Sprintf("%s from %s to %s", r.Upstream, r.Start.Format("05.000"), r.End.Format("05.000"))
}

func startWorker(t *testing.T, w *cluster, service string, n int, seed uint64) *worker {
	t.Helper()
	u := &worker{
		FaultyUpstream: &standin.FaultyUpstream{Address: standin.FreeAddress(), Rand: rand.New(rand.NewPCG(seed, uint64(3000+n)))},
		t:              t, service: service, id: fmt.Sprint(service, "-", n),
	}
	if service == "llm" {
		u.Model = "m"
	}
	u.link = startProxy(t, u.Address)
	require.NoError(t, u.Start(u.id))
	t.Cleanup(u.Close)
	u.register(w, "ready")
	return u
}

// register writes the worker's registration, or removes it if the state is empty.
func (u *worker) register(w *cluster, state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
	id, registration := u.Registration(u.service, u.link.address(), state)
	if state == "" {
		w.store.Put("keyed.servers", id, nil)
		return
	}
	w.store.Put("keyed.servers", id, registration)
}

// registerAgain writes the registration once more, after a restore of the store.
func (u *worker) registerAgain(w *cluster) {
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	u.register(w, state)
}

// disturb notes a disturbance while f runs.
func (d *disturbances) disturb(f func()) {
	from := time.Now()
	f()
	d.disturbedMu.Lock()
	defer d.disturbedMu.Unlock()
	d.spans = append(d.spans, span{from, time.Now()})
}

// wasDisturbedBetween reports whether there was a disturbance in the given time or a second before.
func (d *disturbances) wasDisturbedBetween(from, to time.Time) bool {
	d.disturbedMu.Lock()
	defer d.disturbedMu.Unlock()
	return slices.ContainsFunc(d.spans, func(s span) bool { return s.from.Before(to) && s.to.After(from.Add(-time.Second)) })
}

// injectFault disturbs the worker in one of several ways.
func (u *worker) injectFault(w *cluster, fault int, d time.Duration, sameID bool, m proxyMode) {
	switch fault {
	case 0:
		u.disturb(func() {
			u.Close()
			time.Sleep(d)
			u.restart(w, sameID)
		})
	case faultFreeze:
		u.disturb(func() {
			if sameID {
				// What comes meanwhile waits on the link, otherwise at the worker.
				u.link.setMode(modeSilent)
			}
			u.Freeze(d)
			u.link.setMode(modePass)
		})
	case 2:
		// The worker announces its end, in its answers and mostly in the store too, and drains.
		u.SetLeaving()
		state := ""
		if sameID {
			state = "draining"
		}
		u.register(w, state)
		time.Sleep(drainTime + 500*time.Millisecond)
		u.disturb(func() {
			u.Close()
			u.restart(w, false)
		})
	default:
		u.disturb(func() { u.link.setMode(m); time.Sleep(d); u.link.setMode(modePass) })
	}
}

// restart starts the worker again under the same address.
func (u *worker) restart(w *cluster, sameID bool) {
	if !sameID {
		u.register(w, "")
		u.id += "x"
	}
	require.NoError(u.t, u.Start(u.id))
	u.register(w, "ready")
}

// allRuns returns the runs of all workers by the ids of their requests, and checks what the workers got.
func (w *cluster) allRuns(c *checker) map[string][]run {
	all := map[string][]run{}
	for _, u := range w.workers {
		executions, keys := u.Runs()
		for id, list := range executions {
			for _, e := range list {
				all[id] = append(all[id], run{e, &u.disturbances})
				if id != "" && e.Body != "body of "+id {
					c.reportViolation("request %s ran with body %q", id, e.Body)
				}
			}
		}
		if keys > 0 {
			c.reportViolation("%s received the keys of %d requests", u.service, keys)
		}
	}
	// Requests without an id can't be told apart.
	delete(all, "")
	return all
}

// checkOverlap checks that a request does not go on at a worker while another one that can be reached works on.
func checkOverlap(c *checker, id string, all []run) {
	slices.SortFunc(all, func(a, b run) int { return a.Start.Compare(b.Start) })
	for i := range all[1:] {
		earlier, later := all[i], all[i+1]
		end := later.Start.Add(maxOverlap)
		overlaps := earlier.End.IsZero() || earlier.End.After(end)
		// A disturbed link delivers late what was sent before the earlier run.
		disturbed := earlier.wasDisturbedBetween(earlier.Start, end) || later.wasDisturbedBetween(later.Start, end)
		if overlaps && !disturbed {
			c.reportViolation("request %s went on at %s while it still ran at %s", id, later, earlier)
		}
	}
}
