package moves

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Monitor counts what became of the requests of routes that a move shifts. Begin, First and Record may be called from
// any number of goroutines and take no lock but when a new organisation appears.
type Monitor struct {
	Splitter *Splitter

	figures atomic.Pointer[map[ident.MoveID]*moveFigures]
	bases   atomic.Pointer[map[baseKey]*latencyBase]
	// mu serialises the writers of figures and bases.
	mu     sync.Mutex
	once   sync.Once
	urgent chan struct{}
	wake   chan struct{}
	digest digestState
}

// moveFigures are the counts of one move on this daemon and, in peers, on the others.
type moveFigures struct {
	model  ident.ModelID
	from   ident.VersionID
	cells  atomic.Pointer[map[cellKey]*cell]
	routes atomic.Pointer[map[ident.RouteID]*routeFigures]
	broken brokenUpstreams
	// mu serialises the writers of cells and routes and guards peers and peerSums.
	mu    sync.Mutex
	peers map[peerKey]peerCounts
	// peerSums are the counts of all peers together.
	peerSums map[cellKey]counts
}

// cellKey names one set of counts. The organisation is empty for those that are not counted one by one.
type cellKey struct {
	route        ident.RouteID
	organisation ident.OrganisationID
	isNew        bool
}

// cell holds counts of this daemon since its start.
type cell struct {
	requests, failures, incomplete    atomic.Int64
	ttftSamples, ttftSlow, ttftMicros atomic.Int64
	itlSamples, itlSlow, itlMicros    atomic.Int64
}

// counts is a plain copy of a cell.
type counts struct {
	requests, failures, incomplete    int64
	ttftSamples, ttftSlow, ttftMicros int64
	itlSamples, itlSlow, itlMicros    int64
}

// routeFigures hold the limits that the old version's latencies set on one route, and what is pending.
type routeFigures struct {
	// base is nil when there are too many routes.
	base       *latencyBase
	ttftLimits [workClasses]atomic.Int64
	itlLimits  [workClasses]atomic.Int64
	// pending holds the requests without a first token of the old and of the new version.
	pending [2]pendingSet
}

func (w *Monitor) init() {
	w.once.Do(func() {
		w.urgent = make(chan struct{}, 1)
		w.wake = make(chan struct{}, 1)
	})
}

// UrgentDigest signals that a version has failed a request or was stopped, so that the next digest should go out at once.
func (w *Monitor) UrgentDigest() <-chan struct{} {
	w.init()
	return w.urgent
}

func (w *Monitor) signal() {
	w.init()
	notify(w.urgent)
	notify(w.wake)
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// find returns the move and figures that a request counts for; nil figures if none.
func (w *Monitor) find(at Target) (*share, *moveFigures, bool) {
	sh := w.Splitter.table.Load().find(routeKey{Model: at.Model, Route: at.Route})
	if sh == nil || (at.Version != sh.move.From && at.Version != sh.move.To) {
		return nil, nil, false
	}
	return sh, w.figuresOf(sh), at.Version == sh.move.To
}

// knownFigures returns nil if nothing has been counted for the move.
func (w *Monitor) knownFigures(move ident.MoveID) *moveFigures {
	if all := w.figures.Load(); all != nil {
		return (*all)[move]
	}
	return nil
}

func (w *Monitor) figuresOf(sh *share) *moveFigures {
	move := sh.move.ID
	if f := w.knownFigures(move); f != nil {
		return f
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[ident.MoveID]*moveFigures{}
	if all := w.figures.Load(); all != nil {
		if f := (*all)[move]; f != nil {
			return f
		}
		maps.Copy(next, *all)
	}
	f := newMoveFigures(sh)
	next[move] = f
	w.figures.Store(&next)
	return f
}

// forget drops the figures of all moves but the given ones.
func (w *Monitor) forget(keep map[ident.MoveID]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.figures.Load()
	if all == nil {
		return
	}
	next := maps.Clone(*all)
	maps.DeleteFunc(next, func(id ident.MoveID, _ *moveFigures) bool { return !keep[id] })
	if len(next) == len(*all) {
		return
	}
	w.figures.Store(&next)
	w.digest.forget(keep)
}

func newMoveFigures(sh *share) *moveFigures {
	f := &moveFigures{model: sh.move.Model, from: sh.move.From, peers: map[peerKey]peerCounts{}, peerSums: map[cellKey]counts{}}
	f.cells.Store(&map[cellKey]*cell{})
	f.routes.Store(&map[ident.RouteID]*routeFigures{})
	return f
}

// routeOf returns the figures of one route of the move.
func (w *Monitor) routeOf(f *moveFigures, id ident.RouteID) *routeFigures {
	if r := (*f.routes.Load())[id]; r != nil {
		return r
	}
	base := w.base(baseKey{routeKey{Model: f.model, Route: id}, f.from})
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := (*f.routes.Load())[id]; r != nil {
		return r
	}
	next := maps.Clone(*f.routes.Load())
	r := &routeFigures{base: base}
	next[id] = r
	f.routes.Store(&next)
	return r
}

// cell returns the counts for a request; organisations beyond the first ones of a route share one.
func (f *moveFigures) cell(at Target, isNew bool) *cell {
	key := cellKey{at.Route, at.Organisation, isNew}
	cells := *f.cells.Load()
	if c := cells[key]; c != nil {
		return c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cells = *f.cells.Load()
	if !organisationCounted(cells, key) {
		key.organisation = ""
	}
	if c := cells[key]; c != nil {
		return c
	}
	next := maps.Clone(cells)
	c := &cell{}
	next[key] = c
	f.cells.Store(&next)
	return c
}

// organisationCounted reports whether the organisation of the key has counts of its own on the route or may get them.
func organisationCounted(cells map[cellKey]*cell, key cellKey) bool {
	other := key
	other.isNew = !key.isNew
	if cells[key] != nil || cells[other] != nil {
		return true
	}
	seen := map[ident.OrganisationID]bool{}
	for k := range cells {
		if k.route == key.route {
			seen[k.organisation] = true
		}
	}
	return len(seen) < countedOrganisations
}

// refreshLimits recomputes the limits of all routes of a move from the old version's latencies. slack is in percent.
func (f *moveFigures) refreshLimits(slack int) {
	for _, r := range *f.routes.Load() {
		if r.base != nil {
			r.refreshLimits(slack)
		}
	}
}

func (r *routeFigures) limits() *[workClasses]time.Duration {
	var limits [workClasses]time.Duration
	for class := range limits {
		limits[class] = time.Duration(r.ttftLimits[class].Load())
	}
	return &limits
}

func (r *routeFigures) refreshLimits(slack int) {
	storeLimits(&r.ttftLimits, r.base.ttft.limits(slack))
	storeLimits(&r.itlLimits, r.base.itl.limits(slack))
}

// storeLimits replaces the limits by those that are known.
func storeLimits(to *[workClasses]atomic.Int64, limits [workClasses]time.Duration) {
	for class, limit := range limits {
		if limit > 0 {
			to[class].Store(int64(limit))
		}
	}
}

func (c *cell) add(o Outcome, begun bool) {
	if !begun {
		c.requests.Add(1)
	}
	if o != OutcomeComplete {
		c.failures.Add(1)
	}
	if o == OutcomeTruncated {
		c.incomplete.Add(1)
	}
}

func (c *cell) load() counts {
	return counts{
		requests: c.requests.Load(), failures: c.failures.Load(), incomplete: c.incomplete.Load(),
		ttftSamples: c.ttftSamples.Load(), ttftSlow: c.ttftSlow.Load(), ttftMicros: c.ttftMicros.Load(),
		itlSamples: c.itlSamples.Load(), itlSlow: c.itlSlow.Load(), itlMicros: c.itlMicros.Load(),
	}
}

func (c *counts) addAll(o counts) {
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

func (c counts) minus(o counts) counts {
	return counts{
		requests: c.requests - o.requests, failures: c.failures - o.failures, incomplete: c.incomplete - o.incomplete,
		ttftSamples: c.ttftSamples - o.ttftSamples, ttftSlow: c.ttftSlow - o.ttftSlow, ttftMicros: c.ttftMicros - o.ttftMicros,
		itlSamples: c.itlSamples - o.itlSamples, itlSlow: c.itlSlow - o.itlSlow, itlMicros: c.itlMicros - o.itlMicros,
	}
}

func sideOf(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}
