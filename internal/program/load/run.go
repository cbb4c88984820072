package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// run is one run of a trace with one policy.
type run struct {
	profile  *Profile
	policy   string
	trace    []arrival
	duration time.Duration
	faults   []Fault

	move MoveKind

	system     *local.System
	dispatches dispatchLog
	admissions admissions
	faultAt    time.Time

	mu       sync.Mutex
	outcomes []*outcome
}

// measure starts a system, sends the trace, injects the faults, makes the move if there is one, and returns the results.
func (r *run) measure(ctx context.Context) (*PolicyMetrics, error) {
	r.system = r.newSystem()
	defer r.system.Close()
	if err := r.system.Start(ctx); err != nil {
		return nil, err
	}
	// The token buckets of a new fleet start empty; organisations have their burst only once they are full.
	idle, loaded := &ControlMeter{}, &ControlMeter{}
	idle.Start()
	sleepUntil(ctx, time.Now().Add(bucketFillTime))
	idleTraffic := idle.Traffic(r.profile.Daemons)
	clients := r.newClients()
	var wg sync.WaitGroup
	wg.Go(func() { r.injectFaults(ctx) })
	var moveResult *MoveResult
	var moveErr error
	if r.move != "" {
		wg.Go(func() { moveResult, moveErr = r.runMove(ctx) })
	}
	loaded.Start()
	r.sendTrace(ctx, clients, &wg)
	wg.Wait()
	loadedTraffic := loaded.Traffic(r.profile.Daemons)
	for _, c := range clients {
		c.Close()
	}
	if moveErr != nil {
		return nil, moveErr
	}
	metrics := r.metrics()
	metrics.Move = moveResult
	metrics.ControlIdle, metrics.Control = idleTraffic, loadedTraffic
	return metrics, nil
}

func (r *run) newSystem() *local.System {
	p := r.profile
	system := &local.System{
		DaemonCount:    p.Daemons,
		FailureDomains: p.FailureDomains,
		EngineCount:    p.Engines,
		EngineSettings: engine.Settings{
			BlockTokens: p.BlockTokens,
			CacheBlocks: p.CacheBlocks,
			IdleTTL:     time.Duration(p.EvictIdleMs) * time.Millisecond,
			LoadTime:    time.Duration(p.LoadVersionMs) * time.Millisecond,
			TimeScale:   p.TimeScale,
		},
		Model:       modelID,
		Version:     initialVersion,
		NewVersions: []ident.VersionID{nextVersion},
		Routes: []config.Route{{
			ID: auditRoute, Team: team, Kind: config.RouteModel, Model: modelID, PathPrefix: auditPath,
			OnKeyWithdrawal: config.WithdrawalFinish,
		}},
		OnAdmit:    r.admissions.add,
		OnDispatch: r.dispatches.add,
		AdjustSettings: func(s *setup.Settings) {
			s.Policy = r.policy
			s.Moves = moveSettings()
			s.Loads.MaxConcurrentLoads = p.ParallelLoads
		},
	}
	for _, o := range p.Organisations {
		rate := p.tokenRate(o)
		system.Organisations = append(system.Organisations, config.Organisation{
			ID: o.ID, Team: team, Rate: rate, Burst: burstSeconds * ident.Tokens(rate),
		})
	}
	return system
}

func (r *run) newClients() []*client.Client {
	clients := make([]*client.Client, 0, len(r.profile.Organisations))
	for _, o := range r.profile.Organisations {
		clients = append(clients, &client.Client{Seeds: r.system.Addresses(), Key: r.system.Keys[o.ID], Retries: maxRetries})
	}
	return clients
}

// sendTrace sends each request at its arrival time, whether or not earlier ones were answered (open loop). It returns
// when all requests and the other goroutines of wg have ended.
func (r *run) sendTrace(ctx context.Context, clients []*client.Client, wg *sync.WaitGroup) {
	ctx, cancel := context.WithTimeout(ctx, r.duration+drainTimeout)
	defer cancel()
	start := time.Now()
	var requests sync.WaitGroup
	for i := range r.trace {
		a := &r.trace[i]
		if !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		requests.Go(func() { r.sendOne(ctx, clients[a.organisation], a) })
	}
	requests.Wait()
	wg.Wait()
}

func (r *run) sendOne(ctx context.Context, c *client.Client, a *arrival) {
	o := &outcome{arrival: a, sent: time.Now(), cachedBlocks: r.maxCachedBlocks(a.chain)}
	o.response, o.err = c.Complete(ctx, a.request)
	if o.err == nil {
		o.textCorrect = o.response.Text == local.ExpectedText(a.request, o.response.Version)
	}
	o.warmup = a.at < r.profile.wallTime(warmupTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// maxCachedBlocks returns the largest number of leading blocks of the chain that an engine has cached now.
func (r *run) maxCachedBlocks(chain []ident.BlockHash) int {
	most := 0
	for _, e := range r.system.EngineList() {
		most = max(most, e.CachedPrefix(chain))
	}
	return most
}

func (r *run) metrics() *PolicyMetrics {
	slices.SortFunc(r.outcomes, func(a, b *outcome) int { return a.sent.Compare(b.sent) })
	fleet := newCollector()
	metrics := &PolicyMetrics{Organisations: map[ident.OrganisationID]*Metrics{}}
	worstTTFTP99Ms := 0.0
	for i, o := range r.profile.Organisations {
		orgMetrics := r.organisationMetrics(i, o, fleet)
		metrics.Organisations[o.ID] = orgMetrics
		fleet.RejectedWithinRate += orgMetrics.RejectedWithinRate
		fleet.OverAdmittedTokens = max(fleet.OverAdmittedTokens, orgMetrics.OverAdmittedTokens)
		worstTTFTP99Ms = max(worstTTFTP99Ms, orgMetrics.TTFTP99Ms)
	}
	for _, e := range r.system.EngineList() {
		fleet.Duplicated += e.Stats().RepeatedRuns
	}
	metrics.Metrics = *fleet.metrics()
	if metrics.TTFTP99Ms > 0 {
		metrics.WorstTTFTRatio = worstTTFTP99Ms / metrics.TTFTP99Ms
	}
	metrics.HitRateBefore = r.hitRate(r.faultAt.Add(-r.profile.wallTime(hitRateWindow)), r.faultAt)
	metrics.HitRateAfter = r.hitRate(r.faultAt, r.faultAt.Add(r.profile.wallTime(hitRateWindow)))
	return metrics
}

func (r *run) organisationMetrics(i int, o Organisation, fleet *collector) *Metrics {
	c := newCollector()
	var ofOrganisation []*outcome
	for _, out := range r.outcomes {
		if out.arrival.organisation == i {
			ofOrganisation = append(ofOrganisation, out)
		}
	}
	rate := r.profile.tokenRate(o)
	replay := replayAdmissions(r.admissions.list, o.ID, rate, burstSeconds*ident.Tokens(rate))
	ideal := &idealBucket{rate: replay.rate, burst: replay.burst, maxWait: maxRateLimitWait}
	for _, out := range ofOrganisation {
		out.overIdealRate = ideal.wait(out.sent, out.arrival.cost) > 0
		if out.rateLimited() && !out.overIdealRate {
			c.RejectedWithinRate++
		}
		c.add(r.profile, out)
		fleet.add(r.profile, out)
	}
	c.OverAdmittedTokens = replay.maxExcess
	return c.metrics()
}

// hitRate returns the prefix hit rate of the requests sent at or after from and before to.
func (r *run) hitRate(from, to time.Time) float64 {
	c := newCollector()
	for _, o := range r.outcomes {
		if !o.sent.Before(from) && o.sent.Before(to) {
			c.add(r.profile, o)
		}
	}
	return c.metrics().PrefixHitRate
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
