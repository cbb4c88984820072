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

// simulation holds the settings of one simulated run of daemons and engines.
type simulation struct {
	engineCount, daemons int
	policy               Policy
	// omniscient replaces the decisions of the policy by ones from the exact state of all queues and caches.
	omniscient bool
	// requestsPerEngine is the mean number of requests per second per engine.
	requestsPerEngine float64
	seed              uint64
	duration          time.Duration
	// restart replaces half of the daemons halfway; with coldRestart they start without a snapshot.
	restart, coldRestart bool
	// crash makes an engine fail for 2 s after a quarter of the time.
	crash bool
	// samePriority gives all requests the same priority.
	samePriority bool
	// noNotices disables the notices between daemons.
	noNotices bool
	// noSubsets gives the daemons no preferred subsets of the engines.
	noSubsets bool
	// exceedRate lets the organisation with the highest surge factor exceed its rate.
	exceedRate bool
	// daemonsPerFamily is the number of daemons that get the requests of a prefix family; 0 is all.
	daemonsPerFamily int
}

const (
	fakePrefillRate         = 20000 // tokens per second
	fakeCacheBlocks         = 240   // blocks
	organisationCount       = 5
	familiesPerOrganisation = 60 // distinct shared prefixes
	warmUp                  = 10 * time.Second
	noticeDelay             = 4 * time.Millisecond // NoticeLinger and the network delay
	burstSeconds            = 6                    // burst of an organisation, in seconds of its rate
	meanRequestTokens       = 16500                // including the output tokens with their cost factor
)

var (
	organisationShares = [organisationCount]float64{0.35, 0.3, 0.2, 0.1, 0.05}
	// surgeFactors is the traffic that each organisation sends relative to its share.
	surgeFactors = [organisationCount]float64{1, 1, 1, 4, 1}
)

// simulationRun is the state of a running simulation.
type simulationRun struct {
	simulation
	rng       *rand.Rand
	scheduler *scheduler
	engines   []*fakeEngine
	byID      map[ident.UpstreamID]*fakeEngine
	routers   []*Router
	sinks     map[ident.UpstreamID][]*EventSink
	admitted  [organisationCount]float64
	result    result
}

func (sim simulation) run(t *testing.T) *result {
	t.Helper()
	x := &simulationRun{simulation: sim, sinks: map[ident.UpstreamID][]*EventSink{}, byID: map[ident.UpstreamID]*fakeEngine{}}
	synctest.Test(t, func(*testing.T) {
		x.rng = rand.New(rand.NewPCG(sim.seed, 7))
		x.scheduler = &scheduler{start: time.Now()}
		for i := range sim.engineCount {
			x.addEngine(i)
		}
		for range sim.daemons {
			x.routers = append(x.routers, x.newRouter(len(x.routers)))
		}
		x.subscribe()
		x.exchangeDigests()
		x.scheduleArrivals()
		if sim.restart {
			x.scheduler.after(sim.duration/2, x.restartHalfOfDaemons)
		}
		if sim.crash {
			x.scheduler.after(sim.duration/4, func() { x.engines[0].crash(2 * time.Second) })
		}
		x.scheduler.run(sim.duration)
	})
	return &x.result
}

func (x *simulationRun) addEngine(i int) {
	e := &fakeEngine{
		id: ident.UpstreamID(fmt.Sprintf("e%02d", i)), scheduler: x.scheduler, rng: x.rng, prefillRate: fakePrefillRate, capacity: fakeCacheBlocks,
		eventLag: 150 * time.Millisecond, reportLag: 200 * time.Millisecond, eventLossRate: 0.002,
	}
	e.sinks = func() []*EventSink { return x.sinks[e.id] }
	e.start()
	x.engines = append(x.engines, e)
	x.byID[e.id] = e
	x.scheduler.after(time.Duration(x.rng.IntN(250))*time.Millisecond, func() { e.reportEvery(250 * time.Millisecond) })
}

func (x *simulationRun) newRouter(rank int) *Router {
	r := &Router{
		Policy: x.policy, Index: &prefix.Index{Capacity: 16384}, Health: &health.Table{},
		Random: x.rng.IntN,
	}
	if !x.noSubsets {
		r.SetDaemonRank(rank, x.daemons)
	}
	if !x.noNotices {
		r.Notify = func(n *wire.SentNotice) { x.deliverNotice(r, n) }
	}
	if !x.samePriority {
		r.FairShare = &FairShare{}
	}
	r.Update(upstreams(x.engineCount))
	return r
}

// subscribe connects the cache events and load reports of all engines to the present routers.
func (x *simulationRun) subscribe() {
	for _, e := range x.engines {
		x.sinks[e.id] = nil
		for _, r := range x.routers {
			f := &EventSink{Router: r, Upstream: e.id}
			f.OnGap = func() { e.resync(f) }
			x.sinks[e.id] = append(x.sinks[e.id], f)
		}
	}
}

// exchangeDigests sends every second what each daemon has learned since to the others.
func (x *simulationRun) exchangeDigests() {
	x.scheduler.after(time.Second, x.exchangeDigests)
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

// deliverNotice sends a notice to the other daemons.
func (x *simulationRun) deliverNotice(from *Router, n *wire.SentNotice) {
	x.scheduler.after(noticeDelay, func() {
		for _, r := range x.routers {
			if r != from {
				r.ApplyNotice(n)
			}
		}
	})
}

// restartHalfOfDaemons replaces half of the routers by new ones, which start from a snapshot unless coldRestart is set.
func (x *simulationRun) restartHalfOfDaemons() {
	for i := range x.daemons / 2 {
		r := x.newRouter(i)
		if !x.coldRestart {
			d := &wire.Digest{}
			x.routers[x.daemons-1].Snapshot(d)
			r.Merge(d)
		}
		x.routers[i] = r
	}
	x.subscribe()
}

// send sends a request to a random daemon, or to one of those of its prefix family.
func (x *simulationRun) send(req *Request, org int) {
	started := x.scheduler.now()
	at := x.rng.IntN(x.daemons)
	if x.daemonsPerFamily > 0 {
		at = (int(req.Chain[2]%64) + x.rng.IntN(x.daemonsPerFamily)) % x.daemons
	}
	r := x.routers[at]
	x.attempt(r, req, org, started)
}

// attempt runs one attempt of a request; it is repeated when the engine fails or no engine can take it.
func (x *simulationRun) attempt(r *Router, req *Request, org int, started time.Duration) {
	d, err := r.Pick(req)
	if err != nil {
		req.Tried = nil
		x.scheduler.after(100*time.Millisecond, func() { x.attempt(r, req, org, started) })
		return
	}
	if x.omniscient {
		d.Upstream = x.leastCostEngine(req)
	}
	e := x.byID[d.Upstream]
	a := r.StartAttempt(req, d)
	x.recordWasted(e, req, started)
	j := &job{req: req, priority: d.Priority}
	j.onFailure = func() {
		a.Failed(&extern.UpstreamError{Kind: extern.UpstreamUnreachable, Upstream: e.id})
		req.Tried = append(req.Tried, e.id)
		x.attempt(r, req, org, started)
	}
	j.onFirstToken = func(cached ident.Tokens) {
		a.FirstToken()
		x.record(req, org, cached, started)
		x.scheduler.after(4*time.Second, func() {
			a.Finished(&extern.EngineDone{PromptTokens: req.PromptTokens, CachedTokens: cached, OutputTokens: 200})
		})
	}
	e.submit(j)
}

// leastCostEngine returns the engine of least cost, from the exact state of all engines.
func (x *simulationRun) leastCostEngine(req *Request) ident.UpstreamID {
	best, least := ident.UpstreamID(""), math.Inf(1)
	for _, e := range x.engines {
		queued := 0
		if e.active != nil {
			queued += int(e.active.tokensToCompute)
		}
		for _, j := range e.queue {
			queued += int(j.req.PromptTokens) - e.cachedPrefix(j.req.Chain)*blockTokens
		}
		missed := int(req.PromptTokens) - e.cachedPrefix(req.Chain)*blockTokens
		cost := float64(queued) + (1+DefaultRecomputeWeight)*float64(missed)
		if !e.down && cost < least {
			best, least = e.id, cost
		}
	}
	return best
}
