package shed

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// stopSamples is the number of last responses of a route whose longest time is taken for that of the next request.
	stopSamples = 64
	// minStopSamples is the number of responses that an estimate needs. Until then a request may take until its deadline.
	minStopSamples = 8
	// maxStopRoutes is the number of routes whose responses are remembered; all are forgotten when there are more.
	maxStopRoutes = 1024
	// atMostOnceFactor lengthens the estimate for requests that can't be repeated, whose loss costs the most.
	atMostOnceFactor = 2
	// cutAllowedTime is how long after the signal a request may be sent at the latest for the platform to accept that the stop cuts it;
	// signalMargin is taken off, as the signal may have been sent that long before it was handled.
	cutAllowedTime = 3 * time.Second
	signalMargin   = 250 * time.Millisecond
)

// Stop decides during a planned stop of the daemon which requests can still end before it. The zero value is ready for use; its
// methods may be called concurrently.
type Stop struct {
	mu sync.Mutex
	// at is when requests have to be over, begunAt when the stop was planned; zero while none is.
	at, begunAt time.Time
	// refusesNew says that no further request is admitted.
	refusesNew bool
	times      map[ident.RouteID]*estim.Window[time.Duration]
	open       map[*OpenRequest]struct{}

	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// StopRequest is a request that is about to be sent to an upstream.
type StopRequest struct {
	Route         ident.RouteID
	UntilDeadline time.Duration
	// AtMostOnce says that the request can't be repeated if it is cut.
	AtMostOnce bool
	// PassedOn says that a peer passed the request on, whose caller knows nothing of this daemon's stop.
	PassedOn bool
	// MayHaveRun says that the request can't be refused as not run any more. The times of other responses then count throughout the stop; for other
	// requests only while the stop may cut them.
	MayHaveRun bool
}

// Begin plans the stop.
func (s *Stop) Begin(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.begunAt = at, time.Now()
}

// Plan returns when a stop was planned and when requests have to be over. It reports false while none is planned.
func (s *Stop) Plan() (begun, end time.Time, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begunAt, s.at, !s.at.IsZero()
}

// RefuseNew admits no further request. Those that were admitted go on.
func (s *Stop) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesNew = true
}

// Expire ends the time for requests that are still open.
func (s *Stop) Expire() {
	s.init()
	s.cancel()
}

// Expired returns a context that ends when the time for open requests is over.
func (s *Stop) Expired() context.Context {
	s.init()
	return s.ctx
}

func (s *Stop) init() {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
}

// window returns the times of the last responses of a route.
func (s *Stop) window(route ident.RouteID) *estim.Window[time.Duration] {
	w := s.times[route]
	if w == nil {
		if s.times == nil || len(s.times) >= maxStopRoutes {
			s.times = map[ident.RouteID]*estim.Window[time.Duration]{}
		}
		w = &estim.Window[time.Duration]{Size: stopSamples}
		s.times[route] = w
	}
	return w
}

// StopEstimate says whether a request is expected to end before the stop, with what decided.
type StopEstimate struct {
	CanFinish bool
	// Takes is how long the request may take, Left the time until the stop, Samples the number of responses that are known of its route. They are zero
	// while no stop is planned.
	Takes, Left time.Duration
	Samples     int
}

// mayCut reports whether the platform accepts that the stop cuts a request that is sent now.
func (s *Stop) mayCut(r StopRequest) bool {
	return !r.PassedOn && time.Since(s.begunAt) <= cutAllowedTime-signalMargin
}

// Estimate estimates whether a request can end before the stop. Once the platform no longer accepts that the request is cut, its deadline has to
// lie before the stop, however short other responses were.
func (s *Stop) Estimate(r StopRequest) StopEstimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesNew {
		return StopEstimate{}
	}
	if s.at.IsZero() {
		return StopEstimate{CanFinish: true}
	}
	e := StopEstimate{Takes: r.UntilDeadline, Left: time.Until(s.at)}
	if w := s.times[r.Route]; w != nil {
		e.Samples = w.Len()
	}
	if e.Samples >= minStopSamples && (r.MayHaveRun || s.mayCut(r)) {
		longest := max(s.times[r.Route].Max(), s.longestOpen(r.Route))
		if r.AtMostOnce {
			longest *= atMostOnceFactor
		}
		e.Takes = min(e.Takes, longest)
	}
	e.CanFinish = e.Takes <= e.Left
	return e
}
