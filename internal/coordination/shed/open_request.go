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

// Untrack removes a request from the open ones.
func (s *Stop) Untrack(r *OpenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, r)
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
