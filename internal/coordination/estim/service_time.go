package estim

import (
	"sync"
	"sync/atomic"
	"time"
)

// ServiceTime estimates how long a request occupies a slot at an upstream of a service. The zero value is ready for
// use; its methods may be called concurrently.
type ServiceTime struct {
	median atomic.Int64

	mu      sync.Mutex
	samples Window[time.Duration]
}

// Observe adds the time of a request from its sending to the end of the response.
func (s *ServiceTime) Observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples.Size = windowSize
	s.samples.Add(took)
	if s.samples.Len() >= minSamples {
		s.median.Store(int64(s.samples.Median()))
	}
}

// Median returns the median of the last requests; 0 if it is not known yet.
func (s *ServiceTime) Median() time.Duration { return time.Duration(s.median.Load()) }
