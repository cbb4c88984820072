package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// trial is one run of the experiment.
type trial struct {
	engineCount, daemons int
	policy               Policy
	// omniscient replaces the policy by exact knowledge of all queues and caches.
	omniscient bool
	// perEngine is the mean number of requests a second for each engine.
	perEngine float64
	seed      uint64
	length    time.Duration
	// restart replaces half of the daemons halfway; cold ones start without a snapshot.
	restart, cold bool
	// crash ends an engine at a quarter of the time.
	crash bool
	// unfair leaves the engines' priorities alike.
	unfair bool
	// silent keeps the daemons from telling each other of what they send.
	silent bool
	// alike gives the daemons no parts of the engines of their own.
	alike bool
	// flood lets the organisation that surges exceed its rate.
	flood bool
	// steered is the number of daemons to which the callers of a prefix family are sent; 0 is all.
	steered int
}

const (
	fakeRate     = 20000 // tokens a second of prefill
	fakeCapacity = 240   // blocks of cache
	organisation = 5
	families     = 60 // prefix families of an organisation
	warmUp       = 10 * time.Second
	noticeDelay  = 4 * time.Millisecond // linger and way
	burstSeconds = 6                    // of an organisation's rate
	meanPrompt   = 16500                // tokens, with the answer's weight
)

var (
	orgShares = [organisation]float64{0.35, 0.3, 0.2, 0.1, 0.05}
	// orgSurge is how many times its rate an organisation sends.
	orgSurge = [organisation]float64{1, 1, 1, 4, 1}
)

// run is the state of a running trial.
type run struct {
	trial
	rng     *rand.Rand
	line    *timeline
	engines []*fakeEngine
	byID    map[ident.UpstreamID]*fakeEngine
	routers []*Router
	feeds   map[ident.UpstreamID][]*EventSink
	sent    [organisation]float64
	out     outcome
}

func (tr trial) run(t *testing.T) *outcome {
	t.Helper()
	x := &run{trial: tr, feeds: map[ident.UpstreamID][]*EventSink{}, byID: map[ident.UpstreamID]*fakeEngine{}}
	synctest.Test(t, func(*testing.T) {
		x.rng = rand.New(rand.NewPCG(tr.seed, 7))
		x.line = &timeline{start: time.Now()}
		for i := range tr.engineCount {
			x.addEngine(i)
		}
		for range tr.daemons {
			x.routers = append(x.routers, x.newRouter(len(x.routers)))
		}
		x.subscribe()
		x.exchange()
		x.arrive()
		if tr.restart {
			x.line.after(tr.length/2, x.restartHalf)
		}
		if tr.crash {
			x.line.after(tr.length/4, func() { x.engines[0].crash(2 * time.Second) })
		}
		x.line.run(tr.length)
	})
	return &x.out
}

func (x *run) addEngine(i int) {
	e := &fakeEngine{
		id: ident.UpstreamID(fmt.Sprintf("e%02d", i)), line: x.line, rng: x.rng, rate: fakeRate, capacity: fakeCapacity,
		eventLag: 150 * time.Millisecond, reportLag: 200 * time.Millisecond, gaps: 0.002,
	}
	e.feeds = func() []*EventSink { return x.feeds[e.id] }
	e.boot()
	x.engines = append(x.engines, e)
	x.byID[e.id] = e
	x.line.after(time.Duration(x.rng.IntN(250))*time.Millisecond, func() { e.reportEvery(250 * time.Millisecond) })
}

func (x *run) newRouter(d int) *Router {
	r := &Router{
		Policy: x.policy, Index: &prefix.Index{Capacity: 16384}, Health: &health.Table{},
		Random: x.rng.IntN,
	}
	if !x.alike {
		r.SetDaemonRank(d, x.daemons)
	}
	if !x.silent {
		r.Notify = func(n *wire.SentNotice) { x.tell(r, n) }
	}
	if !x.unfair {
		r.FairShare = &FairShare{}
	}
	r.Update(upstreams(x.engineCount))
	return r
}

func (x *run) subscribe() {
	for _, e := range x.engines {
		x.feeds[e.id] = nil
		for _, r := range x.routers {
			f := &EventSink{Router: r, Upstream: e.id}
			f.OnGap = func() { e.resync(f) }
			x.feeds[e.id] = append(x.feeds[e.id], f)
		}
	}
}

// exchange passes what each daemon has learned in the last second to the others.
func (x *run) exchange() {
	x.line.after(time.Second, x.exchange)
	for _, from := range x.routers {
		d := &wire.Digest{}
		from.Delta(d, 1<<10)
		for _, to := range x.routers {
			if to != from {
				to.Merge(d)
			}
		}
	}
}

// tell passes a notice to the other daemons.
func (x *run) tell(from *Router, n *wire.SentNotice) {
	x.line.after(noticeDelay, func() {
		for _, r := range x.routers {
			if r != from {
				r.ApplyNotice(n)
			}
		}
	})
}

func (x *run) restartHalf() {
	for i := range x.daemons / 2 {
		r := x.newRouter(i)
		if !x.cold {
			d := &wire.Digest{}
			x.routers[x.daemons-1].Snapshot(d)
			r.Merge(d)
		}
		x.routers[i] = r
	}
	x.subscribe()
}

func (x *run) send(req *Request, org int) {
	started := x.line.now()
	at := x.rng.IntN(x.daemons)
	if x.steered > 0 {
		at = (int(req.Chain[2]%64) + x.rng.IntN(x.steered)) % x.daemons
	}
	r := x.routers[at]
	x.attempt(r, req, org, started)
}

func (x *run) attempt(r *Router, req *Request, org int, started time.Duration) {
	d, err := r.Pick(req)
	if err != nil {
		req.Tried = nil
		x.line.after(100*time.Millisecond, func() { x.attempt(r, req, org, started) })
		return
	}
	if x.omniscient {
		d.Upstream = x.best(req)
	}
	e := x.byID[d.Upstream]
	a := r.StartAttempt(req, d)
	x.waste(e, req, started)
	j := &job{req: req, priority: d.Priority}
	j.failed = func() {
		a.Failed(&extern.UpstreamError{Kind: extern.UpstreamUnreachable, Upstream: e.id})
		req.Tried = append(req.Tried, e.id)
		x.attempt(r, req, org, started)
	}
	j.first = func(cached ident.Tokens) {
		a.FirstToken()
		x.record(req, org, cached, started)
		x.line.after(4*time.Second, func() {
			a.Finished(&extern.EngineDone{PromptTokens: req.PromptTokens, CachedTokens: cached, OutputTokens: 200})
		})
	}
	e.submit(j)
}

// best returns the engine of least cost by exact knowledge.
func (x *run) best(req *Request) ident.UpstreamID {
	best, least := ident.UpstreamID(""), math.Inf(1)
	for _, e := range x.engines {
		queued := 0
		if e.active != nil {
			queued += int(e.active.computed)
		}
		for _, j := range e.queue {
			queued += int(j.req.PromptTokens) - e.held(j.req.Chain)*blockTokens
		}
		missed := int(req.PromptTokens) - e.held(req.Chain)*blockTokens
		cost := float64(queued) + (1+DefaultRecomputeWeight)*float64(missed)
		if !e.down && cost < least {
			best, least = e.id, cost
		}
	}
	return best
}
