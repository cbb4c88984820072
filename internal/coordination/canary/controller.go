// Package canary carries out rollouts: the shift of a service's traffic to upstreams of a new release. Every daemon
// splits its traffic by the stage that it knows, counts the answers of both releases and judges them with those of its
// peers (package moves); a daemon that finds the release bad stops sending to it at once and tells the others. The leader
// decides on stages, keeps them in the platform store and publishes the status for operators.
package canary

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Controller carries out rollouts on one daemon. Its exported fields are set before Run.
type Controller struct {
	Snapshots *view.Snapshots
	Store     extern.Store
	Codec     extern.StatusCodec
	// Term returns this daemon's term as leader, or 0.
	Term func() ident.Offset
	// HasTraffic reports whether callers are sent to this daemon. Without it the daemon hears too late what others have
	// found, and sends nothing to a release that is not completed.
	HasTraffic func() bool
	// IsIsolated reports whether this daemon hears none of its peers, and so can't know what they have found.
	IsIsolated func() bool
	// RequestsAt returns the number of requests of all daemons at an upstream.
	RequestsAt func(ident.UpstreamID) int
	// OnChange, if set, is called after a change that peers should hear of soon.
	OnChange func()

	splitter moves.Splitter
	monitor  moves.Monitor
	judge    moves.Judge
	once     sync.Once

	// services is what requests read.
	services atomic.Pointer[map[view.ServiceID]*serviceState]

	mu       sync.Mutex
	stages   map[view.ServiceID]*Stage
	verdicts map[ident.MoveID]moves.Verdict
	// stopped are the rollouts whose stop was logged.
	stopped map[ident.MoveID]bool
	// stageChanges counts the changes of stages, refreshed holds what the states of services were last built from.
	stageChanges uint64
	refreshed    refreshInputs

	// ledger is used by the leader only, in Run.
	ledger ledger
}

// serviceState is the state of a service with a rollout. It is immutable.
type serviceState struct {
	stage Stage
	move  ident.MoveID
	// from is the release that the rollout replaces.
	from ident.VersionID
	// newReady is the number of upstreams of the release that take requests, oldListed that of all registered
	// upstreams of other releases.
	newReady, oldListed int
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.monitor.Splitter = &c.splitter
		c.judge.Monitor, c.judge.LargeShareSlowMarginPercent = &c.monitor, c.largeShareSlowMarginPercent
	})
}

// largeShareSlowMarginPercent returns the margin for services whose upstreams have caches; 0 for others.
func (c *Controller) largeShareSlowMarginPercent(service ident.ModelID) int {
	if cfg := c.Snapshots.Config(); cfg != nil {
		if s := cfg.Services[view.ServiceID(service)]; s != nil && s.Engine != nil {
			return largeShareSlowMarginPercent
		}
	}
	return 0
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.init()
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			c.lead(ctx)
			scope.Sleep(ctx, evaluationInterval)
		}
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-c.monitor.UrgentDigest():
				c.notifyPeers()
			}
		}
	})
	for ctx.Err() == nil {
		c.evaluate(time.Now())
		scope.Sleep(ctx, evaluationInterval)
	}
	wg.Wait()
}

func (c *Controller) notifyPeers() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// evaluate applies the rollouts and stages that are known and stops releases that are judged bad.
func (c *Controller) evaluate(now time.Time) {
	c.refresh()
	verdicts := c.judge.Evaluate(now, moves.Settings{})
	for id, v := range verdicts {
		if v.Finding == moves.FindingBad && c.splitter.Stop(id, v.Reason) {
			klog.InfoS("Stopped sending to the new release", "rollout", id, "reason", v.Reason, "samples", v.Samples)
			countEvent("stopped")
			c.notifyPeers()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts = verdicts
	c.logStops()
}

// logStops logs which releases this daemon no longer sends to because of a peer. The caller holds c.mu.
func (c *Controller) logStops() {
	for _, s := range *c.services.Load() {
		reason := c.splitter.StopReason(s.move)
		if reason == "" || c.stopped[s.move] {
			continue
		}
		if c.stopped == nil {
			c.stopped = map[ident.MoveID]bool{}
		}
		c.stopped[s.move] = true
		klog.InfoS("New release gets no more requests", "rollout", s.move, "reason", reason, "sharePermille", s.stage.Share)
	}
}

// refresh rebuilds the states of services from the orders, the stages and the upstreams, if any has changed.
func (c *Controller) refresh() {
	rollouts, upstreams, hasTraffic := c.Snapshots.Rollouts(), c.Snapshots.Upstreams(), c.HasTraffic()
	c.mu.Lock()
	defer c.mu.Unlock()
	if inputs := (refreshInputs{sumOfOrders(rollouts), upstreams, hasTraffic, c.stageChanges}); inputs != c.refreshed {
		c.refreshed = inputs
		c.rebuild(rollouts, upstreams)
	}
}

// refreshInputs are what the states of services depend on.
type refreshInputs struct {
	orders       ident.Offset
	upstreams    *view.Upstreams
	hasTraffic   bool
	stageChanges uint64
}

// sumOfOrders returns a number that differs whenever the orders do; 0 if there is none.
func sumOfOrders(rollouts map[view.ServiceID]view.Rollout) ident.Offset {
	sum := ident.Offset(0)
	for _, r := range rollouts {
		sum += r.Offset + 1
	}
	return sum
}

// rebuild rebuilds the states of services. The caller holds c.mu.
func (c *Controller) rebuild(rollouts map[view.ServiceID]view.Rollout, upstreams *view.Upstreams) {
	states := make(map[view.ServiceID]*serviceState, len(rollouts))
	serving := config.ServingVersions{Models: map[ident.ModelID]ident.VersionID{}}
	var active []*config.Move
	for id, list := range upstreams.ByService {
		serving.Models[ident.ModelID(id)] = commonRelease(list, rollouts[id].Release)
	}
	for id, r := range rollouts {
		s := newServiceState(c.stageOf(&r), upstreams.ByService[id])
		s.from = serving.Models[ident.ModelID(id)]
		states[id] = s
		if s.stage.State == view.RolloutCompleted {
			serving.Models[ident.ModelID(id)] = ident.VersionID(r.Release)
		}
		if s.stage.State.Ended() {
			continue
		}
		active = append(active, &config.Move{
			ID: s.move, Model: ident.ModelID(id), From: s.from, To: ident.VersionID(r.Release), State: config.MoveRunning,
			Share: c.ownShare(s), Step: stepOf(s.stage.Share),
		})
	}
	c.splitter.Replace(serving, active)
	c.services.Store(&states)
}

// stageOf returns the stage of the newest order of a service. The caller holds c.mu.
func (c *Controller) stageOf(r *view.Rollout) Stage {
	if s := c.stages[r.Service]; s != nil && s.Order == r.Offset {
		known := *s
		known.Stated = r.Stated
		return known
	}
	return Stage{Service: r.Service, Order: r.Offset, Stated: r.Stated, Release: r.Release, State: view.RolloutInProgress, OrderedAt: r.SeenAt, Since: r.SeenAt}
}

func newServiceState(stage Stage, list []*view.Upstream) *serviceState {
	s := &serviceState{stage: stage, move: moveID(stage.Service, stage.Order)}
	for _, u := range list {
		switch {
		case u.Release != stage.Release:
			s.oldListed++
		case u.State == view.UpstreamReady:
			s.newReady++
		}
	}
	return s
}

// ownShare returns the share of this daemon's traffic that goes to the release.
func (c *Controller) ownShare(s *serviceState) ident.Permille {
	if s.newReady == 0 || !c.HasTraffic() {
		return 0
	}
	return s.stage.Share
}

// commonRelease returns the release of most of the upstreams, without those of the given one; empty if there are none.
func commonRelease(list []*view.Upstream, except string) ident.VersionID {
	counts := map[string]int{}
	best := ""
	for _, u := range list {
		if u.Release == except {
			continue
		}
		counts[u.Release]++
		if n := counts[u.Release]; best == "" || n > counts[best] || n == counts[best] && u.Release < best {
			best = u.Release
		}
	}
	return ident.VersionID(best)
}

func moveID(service view.ServiceID, order ident.Offset) ident.MoveID {
	return ident.MoveID(fmt.Sprintf("%s@%v", service, order))
}

// stepOf returns the index of the step with the share; 0 if there is none.
func stepOf(share ident.Permille) int {
	for i := range steps {
		if steps[i].share == share {
			return i
		}
	}
	return 0
}

// Stages returns the stages that this daemon knows, for its peers.
func (c *Controller) Stages() []Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Stage, 0, len(c.stages))
	orders := c.Snapshots.Rollouts()
	for id, s := range c.stages {
		stage := *s
		if order := orders[id]; order.Offset == s.Order {
			stage.Stated = order.Stated
		}
		out = append(out, stage)
	}
	return out
}

// identify lets the newest order of the stage's service be known by the stage's offset if it is the same order.
func (c *Controller) identify(s *Stage) {
	if order, ok := c.Snapshots.Rollouts()[s.Service]; ok && s.Order < order.Offset && s.isOf(&order) {
		klog.InfoS("Order of a rollout was written again", "service", s.Service, "release", s.Release, "order", s.Order, "stated", order.Stated)
		c.Snapshots.IdentifyRollout(s.Service, s.Order, s.OrderedAt)
	}
}

// ApplyStage applies a stage that a peer knows.
func (c *Controller) ApplyStage(s Stage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.identify(&s)
	c.apply(s, "peer")
}

// apply records a stage if it is newer than the known one. The caller holds c.mu.
func (c *Controller) apply(s Stage, source string) bool {
	if !s.supersedes(c.stages[s.Service]) {
		return false
	}
	if c.stages == nil {
		c.stages = map[view.ServiceID]*Stage{}
	}
	if old := c.stages[s.Service]; old == nil || old.Order != s.Order || old.State != s.State || old.Share != s.Share {
		klog.InfoS("Stage of a rollout", "service", s.Service, "release", s.Release, "order", s.Order, "state", s.State,
			"sharePermille", s.Share, "term", s.Term, "reason", s.Reason, "source", source,
			"orderAgeMs", time.Since(s.OrderedAt).Milliseconds())
		countEvent(s.State.String())
		metrics.GetOrCreateGauge(fmt.Sprintf(`gooseberrywayRolloutSharePermille{service=%q}`, s.Service), nil).Set(float64(s.Share))
	}
	c.stages[s.Service] = &s
	c.stageChanges++
	return true
}

// Monitor returns the counts of answers, whose digests daemons exchange.
func (c *Controller) Monitor() *moves.Monitor {
	c.init()
	return &c.monitor
}

func countEvent(event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRolloutEvents{event=%q}`, event)).Inc()
}

// Request is what the choice of a release depends on.
type Request struct {
	Service      view.ServiceID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	ID           ident.RequestID
	// Retry says that an upstream has had the request already.
	Retry bool
}

// Releases returns which upstreams may get the request; nil for all.
func (c *Controller) Releases(r *Request) *place.ReleaseFilter {
	order, ok := c.Snapshots.Rollouts()[r.Service]
	if !ok {
		return nil
	}
	var s *serviceState
	if states := c.services.Load(); states != nil {
		s = (*states)[r.Service]
	}
	if s == nil || s.stage.Order != order.Offset {
		// The order has just arrived.
		return &place.ReleaseFilter{Release: order.Release, Except: true}
	}
	switch {
	case s.oldListed == 0:
		return nil
	case s.stage.State == view.RolloutCompleted && s.newReady > 0:
		return &place.ReleaseFilter{Release: order.Release}
	case s.stage.State != view.RolloutInProgress || !c.picksNew(s, r):
		return &place.ReleaseFilter{Release: order.Release, Except: true}
	default:
		return &place.ReleaseFilter{Release: order.Release}
	}
}

// picksNew reports whether the request goes to the new release of a rollout in progress. Retries go to the old one until
// the new one gets all requests.
func (c *Controller) picksNew(s *serviceState, r *Request) bool {
	if s.stage.Share == fullShare && c.splitter.StopReason(s.move) == "" && c.ownShare(s) > 0 {
		return true
	}
	if r.Retry {
		return false
	}
	version := c.splitter.Version(moves.SplitKey{
		Model: ident.ModelID(r.Service), Route: r.Route, Organisation: r.Organisation, RequestID: r.ID,
	})
	return version == ident.VersionID(s.stage.Release)
}

// Begin counts a request that is sent to an upstream. work is the number of prompt tokens that the upstream has to
// compute before the first one of the response.
func (c *Controller) Begin(r *Request, u *view.Upstream, work ident.Tokens) moves.Attempt {
	c.init()
	target := moves.Target{
		Model: ident.ModelID(r.Service), Route: r.Route, Version: ident.VersionID(u.Release), Upstream: u.ID, Resumed: r.Retry,
	}
	if states := c.services.Load(); states != nil {
		if s := (*states)[r.Service]; s != nil && s.from != "" && u.Release != s.stage.Release {
			target.Version = s.from
		}
	}
	return c.monitor.Begin(target, work)
}
