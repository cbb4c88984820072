package route

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

var (
	tableFlag  = flag.Bool("route.table", false, "measure all policies and log a table")
	seedFlag   = flag.Uint64("route.seed", 1, "seed of the policy experiment")
	seedsFlag  = flag.Uint64("route.seeds", 3, "number of seeds of the policy experiment")
	timeFlag   = flag.Duration("route.time", 40*time.Second, "simulated time of the policy experiment")
	weightFlag = flag.Float64("route.weight", 0, "recompute weight of the prefix policy")
	slackFlag  = flag.Float64("route.slack", 0, "slack of the prefix policy")
	loadFlag   = flag.Float64("route.load", 0, "requests a second for each engine")
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

// outcome is what a trial measured.
type outcome struct {
	prompt, cached, wasted ident.Tokens
	ttft                   []time.Duration
	byOrg                  [organisation][]time.Duration
	// windows are the hit rates before and after the restart.
	before, after [2]ident.Tokens
}

func (o *outcome) hitRate() float64     { return float64(o.cached) / float64(o.prompt) }
func (o *outcome) wastedShare() float64 { return float64(o.wasted) / float64(o.prompt) }
func (o *outcome) worstOrg() float64 {
	worst := time.Duration(0)
	for i := range o.byOrg {
		worst = max(worst, quantile(o.byOrg[i], 0.99))
	}
	return float64(worst) / float64(quantile(o.ttft, 0.99))
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

func share(part [2]ident.Tokens) float64 { return float64(part[0]) / float64(max(1, part[1])) }

// run is the state of a running trial.
type run struct {
	trial
	rng     *rand.Rand
	line    *timeline
	engines []*fakeEngine
	byID    map[ident.UpstreamID]*fakeEngine
	routers []*Router
	feeds   map[ident.UpstreamID][]*Feed
	sent    [organisation]float64
	out     outcome
}

func (tr trial) run(t *testing.T) *outcome {
	t.Helper()
	x := &run{trial: tr, feeds: map[ident.UpstreamID][]*Feed{}, byID: map[ident.UpstreamID]*fakeEngine{}}
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
	e.feeds = func() []*Feed { return x.feeds[e.id] }
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
		r.SetPart(d, x.daemons)
	}
	if !x.silent {
		r.Notify = func(n *wire.SentNotice) { x.tell(r, n) }
	}
	if !x.unfair {
		r.Fair = &Fair{}
	}
	r.Update(upstreams(x.engineCount))
	return r
}

func (x *run) subscribe() {
	for _, e := range x.engines {
		x.feeds[e.id] = nil
		for _, r := range x.routers {
			f := &Feed{Router: r, Upstream: e.id}
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
				r.Hear(n)
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
	a := r.Started(req, d)
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

// waste counts tokens that the engine computes and that some other holds.
func (x *run) waste(e *fakeEngine, req *Request, started time.Duration) {
	if started < warmUp {
		return
	}
	most := 0
	for _, other := range x.engines {
		if !other.down {
			most = max(most, other.held(req.Chain))
		}
	}
	x.out.wasted += ident.Tokens(most-e.held(req.Chain)) * blockTokens
}

func (x *run) record(req *Request, org int, cached ident.Tokens, started time.Duration) {
	half := x.length / 2
	part := [2]ident.Tokens{cached, req.PromptTokens}
	if since := started - half; since >= 0 && since < 10*time.Second {
		x.out.after = [2]ident.Tokens{x.out.after[0] + part[0], x.out.after[1] + part[1]}
	} else if since < 0 && since >= -10*time.Second {
		x.out.before = [2]ident.Tokens{x.out.before[0] + part[0], x.out.before[1] + part[1]}
	}
	if started < warmUp {
		return
	}
	ttft := x.line.now() - started
	x.out.prompt += req.PromptTokens
	x.out.cached += cached
	x.out.ttft = append(x.out.ttft, ttft)
	x.out.byOrg[org] = append(x.out.byOrg[org], ttft)
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

var profiles = map[string]trial{
	"consortium": {engineCount: 12, daemons: 7, perEngine: 2.4},
	"spogulis":   {engineCount: 18, daemons: 6, perEngine: 2.4},
}

// TestPrefixMeetsTheTargets compares the prefix policy with leastLoad on the same traffic.
func TestPrefixMeetsTheTargets(t *testing.T) {
	for _, name := range sortedProfiles() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := profiles[name]
			tr.policy = LeastLoad{}
			base := tr.measure(t, 3)
			tr.policy = Prefix{}
			got := tr.measure(t, 3)
			t.Log(name, "leastLoad", base)
			t.Log(name, "prefix   ", got)
			require.GreaterOrEqual(t, got.hit, 2*base.hit)
			require.LessOrEqual(t, got.p99, base.p99/2)
			require.LessOrEqual(t, got.worst, 1.5)
			require.Less(t, got.wasted, 0.05)
			require.Greater(t, got.after, got.before-0.02, "after half of the daemons restart")
		})
	}
}

// TestPolicyTable logs how the policies and their variants compare when -route.table is set.
func TestPolicyTable(t *testing.T) {
	p := Prefix{RecomputeWeight: *weightFlag, Slack: *slackFlag}
	cases := []struct {
		name string
		set  func(*trial)
	}{
		{"random", func(tr *trial) { tr.policy = Random{} }},
		{"roundRobin", func(tr *trial) { tr.policy = &RoundRobin{} }},
		{"leastLoad", func(tr *trial) { tr.policy = LeastLoad{} }},
		{"prefix", func(tr *trial) { tr.policy = p }},
		{"prefix-steered", func(tr *trial) { tr.policy, tr.steered = p, 2 }},
		{"prefix-silent", func(tr *trial) { tr.policy, tr.silent = p, true }},
		{"prefix-alike-silent", func(tr *trial) { tr.policy, tr.alike, tr.silent = p, true, true }},
		{"prefix-alike", func(tr *trial) { tr.policy, tr.alike = p, true }},
		{"prefix-cold", func(tr *trial) { tr.policy, tr.cold = p, true }},
		{"prefix-unfair", func(tr *trial) { tr.policy, tr.unfair = p, true }},
		{"leastLoad-flood", func(tr *trial) { tr.policy, tr.flood = LeastLoad{}, true }},
		{"prefix-flood", func(tr *trial) { tr.policy, tr.flood = p, true }},
		{"prefix-flood-unfair", func(tr *trial) { tr.policy, tr.flood, tr.unfair = p, true, true }},
		{"prefix-crash", func(tr *trial) { tr.policy, tr.crash = p, true }},
		{"omniscient", func(tr *trial) { tr.policy, tr.omniscient = p, true }},
	}
	if !*tableFlag {
		cases = nil
	}
	for _, name := range sortedProfiles() {
		for _, c := range cases {
			tr := profiles[name]
			c.set(&tr)
			if *loadFlag > 0 {
				tr.perEngine = *loadFlag
			}
			t.Logf("%s %-19s %s", name, c.name, tr.measure(t, *seedsFlag))
		}
	}
}

func sortedProfiles() []string { return slices.Sorted(maps.Keys(profiles)) }

// summary is the mean of trials with several seeds.
type summary struct {
	requests                          int
	hit, wasted, worst, before, after float64
	p50, p99                          float64               // milliseconds
	orgs                              [organisation]float64 // p99 in milliseconds
}

func (tr trial) measure(t *testing.T, seeds uint64) summary {
	t.Helper()
	tr.length, tr.restart = *timeFlag, true
	var sum summary
	n := float64(seeds)
	for i := range seeds {
		tr.seed = *seedFlag + i
		o := tr.run(t)
		sum.requests += len(o.ttft)
		for i := range o.byOrg {
			sum.orgs[i] += ms(quantile(o.byOrg[i], 0.99)) / n
		}
		sum.hit += o.hitRate() / n
		sum.wasted += o.wastedShare() / n
		sum.worst += o.worstOrg() / n
		sum.before += share(o.before) / n
		sum.after += share(o.after) / n
		sum.p50 += ms(quantile(o.ttft, 0.5)) / n
		sum.p99 += ms(quantile(o.ttft, 0.99)) / n
	}
	return sum
}

func (s summary) String() string {
	return fmt.Sprintf("n=%5d hit %.3f p50 %6.0f ms p99 %6.0f ms wasted %.3f worst org %.2f %.0f restart %.3f -> %.3f",
		s.requests, s.hit, s.p50, s.p99, s.wasted, s.worst, s.orgs, s.before, s.after)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
