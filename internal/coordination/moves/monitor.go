package moves

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Monitor counts the outcomes of requests on routes that a move shifts. Begin and the methods of Attempt may be
// called from any number of goroutines (each Attempt from one). They lock only for short updates of shared lists.
type Monitor struct {
	Splitter *Splitter

	stats     atomic.Pointer[map[ident.MoveID]*moveStats]
	baselines atomic.Pointer[map[baselineKey]*latencyBaseline]
	// mu serialises the writers of stats and baselines.
	mu     sync.Mutex
	once   sync.Once
	urgent chan struct{}
	wake   chan struct{}
	digest digestState
}

// moveStats holds the counts of one move, of this daemon and of its peers.
type moveStats struct {
	model    ident.ModelID
	from     ident.VersionID
	counters atomic.Pointer[map[countersKey]*counters]
	routes   atomic.Pointer[map[ident.RouteID]*routeStats]
	outages  outageTracker
	// mu serialises the writers of counters and routes and guards latestByPeer and peerTotals.
	mu           sync.Mutex
	latestByPeer map[peerCountersKey]peerCounts
	// peerTotals holds the counts of all peers together.
	peerTotals map[countersKey]counts
}

// countersKey names one set of counts. The organisation is empty for those without counters of their own.
type countersKey struct {
	route        ident.RouteID
	organisation ident.OrganisationID
	isNew        bool
}

// counters holds counts of this daemon since its start.
type counters struct {
	requests, failures, incomplete    atomic.Int64
	ttftSamples, ttftSlow, ttftMicros atomic.Int64
	itlSamples, itlSlow, itlMicros    atomic.Int64
}

// counts is a plain copy of counters.
type counts struct {
	requests, failures, incomplete    int64
	ttftSamples, ttftSlow, ttftMicros int64
	itlSamples, itlSlow, itlMicros    int64
}

// routeStats holds the latency limits that the old version sets on one route, and the pending requests.
type routeStats struct {
	// baseline is nil when there are too many routes.
	baseline   *latencyBaseline
	ttftLimits [workClasses]atomic.Int64
	itlLimits  [workClasses]atomic.Int64
	// pending holds the requests without a first token, by versionIndex.
	pending [2]pendingSet
}

func (m *Monitor) init() {
	m.once.Do(func() {
		m.urgent = make(chan struct{}, 1)
		m.wake = make(chan struct{}, 1)
	})
}

// UrgentDigest signals that the new version has given a bad answer or was stopped, so that the next digest should go
// out at once.
func (m *Monitor) UrgentDigest() <-chan struct{} {
	m.init()
	return m.urgent
}

func (m *Monitor) notifyUrgent() {
	m.init()
	notify(m.urgent)
	notify(m.wake)
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// statsForTarget returns the move and the stats that a request counts for; both are nil if there are none. The last
// result says that the request goes to the new version.
func (m *Monitor) statsForTarget(target Target) (*moveSplit, *moveStats, bool) {
	split := m.Splitter.table.Load().activeSplit(routeKey{Model: target.Model, Route: target.Route})
	if split == nil || (target.Version != split.move.From && target.Version != split.move.To) {
		return nil, nil, false
	}
	return split, m.statsFor(split), target.Version == split.move.To
}

// existingStats returns nil if nothing has been counted for the move.
func (m *Monitor) existingStats(move ident.MoveID) *moveStats {
	if all := m.stats.Load(); all != nil {
		return (*all)[move]
	}
	return nil
}

func (m *Monitor) statsFor(split *moveSplit) *moveStats {
	move := split.move.ID
	if stats := m.existingStats(move); stats != nil {
		return stats
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[ident.MoveID]*moveStats{}
	if all := m.stats.Load(); all != nil {
		if stats := (*all)[move]; stats != nil {
			return stats
		}
		maps.Copy(next, *all)
	}
	stats := newMoveStats(split)
	next[move] = stats
	m.stats.Store(&next)
	return stats
}

// retainMoves drops the stats of all moves but the given ones.
func (m *Monitor) retainMoves(keep map[ident.MoveID]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.stats.Load()
	if all == nil {
		return
	}
	next := maps.Clone(*all)
	maps.DeleteFunc(next, func(id ident.MoveID, _ *moveStats) bool { return !keep[id] })
	if len(next) == len(*all) {
		return
	}
	m.stats.Store(&next)
	m.digest.retainMoves(keep)
}

func newMoveStats(split *moveSplit) *moveStats {
	stats := &moveStats{model: split.move.Model, from: split.move.From, latestByPeer: map[peerCountersKey]peerCounts{}, peerTotals: map[countersKey]counts{}}
	stats.counters.Store(&map[countersKey]*counters{})
	stats.routes.Store(&map[ident.RouteID]*routeStats{})
	return stats
}

// routeStatsFor returns the stats of one route of the move.
func (m *Monitor) routeStatsFor(stats *moveStats, id ident.RouteID) *routeStats {
	if r := (*stats.routes.Load())[id]; r != nil {
		return r
	}
	baseline := m.baselineFor(baselineKey{routeKey{Model: stats.model, Route: id}, stats.from})
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if r := (*stats.routes.Load())[id]; r != nil {
		return r
	}
	next := maps.Clone(*stats.routes.Load())
	r := &routeStats{baseline: baseline}
	next[id] = r
	stats.routes.Store(&next)
	return r
}

// countersFor returns the counters for a request; organisations beyond the first maxCountedOrganisations of a route
// share one.
func (s *moveStats) countersFor(target Target, isNew bool) *counters {
	key := countersKey{target.Route, target.Organisation, isNew}
	all := *s.counters.Load()
	if c := all[key]; c != nil {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all = *s.counters.Load()
	if !mayHaveCounters(all, key) {
		key.organisation = ""
	}
	if c := all[key]; c != nil {
		return c
	}
	next := maps.Clone(all)
	c := &counters{}
	next[key] = c
	s.counters.Store(&next)
	return c
}

// mayHaveCounters reports whether the organisation of the key has counters of its own on the route or may get them.
func mayHaveCounters(all map[countersKey]*counters, key countersKey) bool {
	other := key
	other.isNew = !key.isNew
	if all[key] != nil || all[other] != nil {
		return true
	}
	seen := map[ident.OrganisationID]bool{}
	for k := range all {
		if k.route == key.route {
			seen[k.organisation] = true
		}
	}
	return len(seen) < maxCountedOrganisations
}

// refreshLimits recomputes the limits of all routes of a move from the old version's latencies. allowedPercent is the
// limit in percent of the latency at the limit quantile.
func (s *moveStats) refreshLimits(allowedPercent int) {
	for _, r := range *s.routes.Load() {
		if r.baseline != nil {
			r.refreshLimits(allowedPercent)
		}
	}
}

func (r *routeStats) limits() *[workClasses]time.Duration {
	var limits [workClasses]time.Duration
	for class := range limits {
		limits[class] = time.Duration(r.ttftLimits[class].Load())
	}
	return &limits
}

func (r *routeStats) refreshLimits(allowedPercent int) {
	storeLimits(&r.ttftLimits, r.baseline.ttft.limits(allowedPercent))
	storeLimits(&r.itlLimits, r.baseline.itl.limits(allowedPercent))
}

// storeLimits replaces the limits by those that are known.
func storeLimits(to *[workClasses]atomic.Int64, limits [workClasses]time.Duration) {
	for class, limit := range limits {
		if limit > 0 {
			to[class].Store(int64(limit))
		}
	}
}

func (c *counters) add(o Outcome, firstTokenSeen bool) {
	if !firstTokenSeen {
		c.requests.Add(1)
	}
	if o != OutcomeComplete {
		c.failures.Add(1)
	}
	if o == OutcomeTruncated {
		c.incomplete.Add(1)
	}
}

func (c *counters) snapshot() counts {
	return counts{
		requests: c.requests.Load(), failures: c.failures.Load(), incomplete: c.incomplete.Load(),
		ttftSamples: c.ttftSamples.Load(), ttftSlow: c.ttftSlow.Load(), ttftMicros: c.ttftMicros.Load(),
		itlSamples: c.itlSamples.Load(), itlSlow: c.itlSlow.Load(), itlMicros: c.itlMicros.Load(),
	}
}

func (c *counts) addCounts(o counts) {
	c.requests += o.requests
	c.failures += o.failures
	c.incomplete += o.incomplete
	c.ttftSamples += o.ttftSamples
	c.ttftSlow += o.ttftSlow
	c.ttftMicros += o.ttftMicros
	c.itlSamples += o.itlSamples
	c.itlSlow += o.itlSlow
	c.itlMicros += o.itlMicros
}

func (c counts) sub(o counts) counts {
	return counts{
		requests: c.requests - o.requests, failures: c.failures - o.failures, incomplete: c.incomplete - o.incomplete,
		ttftSamples: c.ttftSamples - o.ttftSamples, ttftSlow: c.ttftSlow - o.ttftSlow, ttftMicros: c.ttftMicros - o.ttftMicros,
		itlSamples: c.itlSamples - o.itlSamples, itlSlow: c.itlSlow - o.itlSlow, itlMicros: c.itlMicros - o.itlMicros,
	}
}

func versionIndex(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}
