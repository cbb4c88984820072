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

// run is one policy's run of a trace.
type run struct {
	profile *Profile
	policy  string
	trace   []arrival
	length  time.Duration
	faults  []Fault

	move MoveKind

	system     *local.System
	dispatches dispatches
	admissions admissions
	faultAt    time.Time

	mu       sync.Mutex
	outcomes []*outcome
}

// play starts a system, sends the trace and returns the figures.
func (r *run) play(ctx context.Context) (*PolicyMetrics, error) {
	r.system = r.newSystem()
	defer r.system.Close()
	if err := r.system.Start(ctx); err != nil {
		return nil, err
	}
	// The shares of a new fleet start empty; its organisations have their burst only once it was minted.
	idle, loaded := &ControlMeter{}, &ControlMeter{}
	idle.Start()
	sleepUntil(ctx, time.Now().Add(fillTime))
	idleFigures := idle.Traffic(r.profile.Daemons)
	clients := r.clients()
	var wg sync.WaitGroup
	wg.Go(func() { r.breakThings(ctx) })
	var moved *MoveResult
	var moveErr error
	if r.move != "" {
		wg.Go(func() { moved, moveErr = r.steer(ctx) })
	}
	loaded.Start()
	r.send(ctx, clients, &wg)
	wg.Wait()
	loadedFigures := loaded.Traffic(r.profile.Daemons)
	for _, c := range clients {
		c.Close()
	}
	if moveErr != nil {
		return nil, moveErr
	}
	f := r.figures()
	f.Move = moved
	f.ControlIdle, f.Control = idleFigures, loadedFigures
	return f, nil
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
		Model:       model,
		Version:     version,
		NewVersions: []ident.VersionID{nextVersion},
		Routes: []config.Route{{
			ID: auditRoute, Team: team, Kind: config.RouteModel, Model: model, PathPrefix: auditPath,
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
		rate := p.rate(o)
		system.Organisations = append(system.Organisations, config.Organisation{
			ID: o.ID, Team: team, Rate: rate, Burst: burstSeconds * ident.Tokens(rate),
		})
	}
	return system
}

func (r *run) clients() []*client.Client {
	clients := make([]*client.Client, 0, len(r.profile.Organisations))
	for _, o := range r.profile.Organisations {
		clients = append(clients, &client.Client{Seeds: r.system.Addresses(), Key: r.system.Keys[o.ID], Retries: retries})
	}
	return clients
}

// send sends each request at its time, whatever became of those before.
func (r *run) send(ctx context.Context, clients []*client.Client, wg *sync.WaitGroup) {
	ctx, cancel := context.WithTimeout(ctx, r.length+drainTimeout)
	defer cancel()
	start := time.Now()
	var answers sync.WaitGroup
	for i := range r.trace {
		a := &r.trace[i]
		if !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		answers.Go(func() { r.one(ctx, clients[a.organisation], a) })
	}
	answers.Wait()
	wg.Wait()
}

func (r *run) one(ctx context.Context, c *client.Client, a *arrival) {
	o := &outcome{arrival: a, sent: time.Now(), held: r.held(a.chain)}
	o.answer, o.err = c.Complete(ctx, a.request)
	if o.err == nil {
		o.whole = o.answer.Text == local.ExpectedText(a.request, o.answer.Version)
	}
	o.warmup = a.at < r.profile.wall(warmup)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// held returns the number of leading blocks that some engine holds now.
func (r *run) held(chain []ident.BlockHash) int {
	most := 0
	for _, e := range r.system.EngineList() {
		most = max(most, e.CachedPrefix(chain))
	}
	return most
}

func (r *run) figures() *PolicyMetrics {
	slices.SortFunc(r.outcomes, func(a, b *outcome) int { return a.sent.Compare(b.sent) })
	fleet := newCollector()
	f := &PolicyMetrics{Organisations: map[ident.OrganisationID]*Metrics{}}
	worst := 0.0
	for i, o := range r.profile.Organisations {
		own := r.organisation(i, o, fleet)
		f.Organisations[o.ID] = own
		fleet.RefusedWithinRate += own.RefusedWithinRate
		fleet.OverAdmittedTokens = max(fleet.OverAdmittedTokens, own.OverAdmittedTokens)
		worst = max(worst, own.TTFTP99Ms)
	}
	for _, e := range r.system.EngineList() {
		fleet.Duplicated += e.Stats().RepeatedRuns
	}
	f.Metrics = *fleet.figures()
	if f.TTFTP99Ms > 0 {
		f.WorstTTFTRatio = worst / f.TTFTP99Ms
	}
	f.HitRateBefore = r.hitRate(r.faultAt.Add(-r.profile.wall(faultWindow)), r.faultAt)
	f.HitRateAfter = r.hitRate(r.faultAt, r.faultAt.Add(r.profile.wall(faultWindow)))
	return f
}

func (r *run) organisation(i int, o Organisation, fleet *collector) *Metrics {
	c := newCollector()
	var own []*outcome
	for _, out := range r.outcomes {
		if out.arrival.organisation == i {
			own = append(own, out)
		}
	}
	rate := r.profile.rate(o)
	ledger := newLedger(r.admissions.list, o.ID, rate, burstSeconds*ident.Tokens(rate))
	ideal := &idealBucket{rate: ledger.rate, burst: ledger.burst, patience: patience}
	for _, out := range own {
		out.beyond = ideal.wait(out.sent, out.arrival.cost) > 0
		if out.overRate() && !out.beyond {
			c.RefusedWithinRate++
		}
		c.add(r.profile, out)
		fleet.add(r.profile, out)
	}
	c.OverAdmittedTokens = ledger.worst
	return c.figures()
}

// hitRate returns the prefix hit rate of the requests sent in a span of time.
func (r *run) hitRate(from, to time.Time) float64 {
	c := newCollector()
	for _, o := range r.outcomes {
		if !o.sent.Before(from) && o.sent.Before(to) {
			c.add(r.profile, o)
		}
	}
	return c.figures().PrefixHitRate
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
