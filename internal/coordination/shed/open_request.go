package shed

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// OpenRequest is a request that was admitted to upstreams and has not ended. Its fields don't change once it is tracked.
type OpenRequest struct {
	ID    ident.RequestID
	Route ident.RouteID
	// ArrivedAt is when the daemon got the request, AdmittedAt when it was admitted with Estimate.
	ArrivedAt, AdmittedAt time.Time
	Estimate              StopEstimate
}

// Track adds a request to the open ones.
func (s *Stop) Track(r *OpenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*OpenRequest]struct{}{}
	}
	s.open[r] = struct{}{}
}

// EndKind says how an open request ended.
type EndKind uint8

const (
	// EndUnsent means that no upstream got the request.
	EndUnsent EndKind = iota
	// EndCut means that an upstream may have run the request, and the response is not complete.
	EndCut
	// EndAnswered means that the response of an upstream is complete.
	EndAnswered
)

// End removes a request from the open ones; nil stands for one that was not admitted. The time since its admission is a sample of how long responses
// of its route take. For a response that was cut that time is a lower bound, and a sample only if it exceeds all others.
func (s *Stop) End(r *OpenRequest, kind EndKind) {
	if r == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, r)
	if kind == EndUnsent {
		return
	}
	w, took := s.window(r.Route), time.Since(r.AdmittedAt)
	if kind == EndAnswered || w.Len() > 0 && took > w.Max() {
		w.Add(took)
	}
}

// longestOpen returns how long the longest open request of a route has taken so far.
func (s *Stop) longestOpen(route ident.RouteID) time.Duration {
	var longest time.Duration
	for r := range s.open {
		if r.Route == route {
			longest = max(longest, time.Since(r.AdmittedAt))
		}
	}
	return longest
}

// Open returns the open requests, the last admitted ones first.
func (s *Stop) Open() []*OpenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*OpenRequest, 0, len(s.open))
	for r := range s.open {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *OpenRequest) int { return b.AdmittedAt.Compare(a.AdmittedAt) })
	return open
}
