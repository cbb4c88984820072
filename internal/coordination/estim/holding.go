package estim

import (
	"sync"
	"sync/atomic"
	"time"
)

// ServiceTime estimates how long a request holds its place at an upstream of a service. The zero value knows nothing; all
// methods may be called at once.
type ServiceTime struct {
	usual atomic.Int64

	mu   sync.Mutex
	last Window[time.Duration]
}

// Observe takes the time of a request from its sending to the end of its answer.
func (h *ServiceTime) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last.Size = windowSize
	h.last.Add(took)
	if h.last.Len() >= samplesLeast {
		h.usual.Store(int64(h.last.Median()))
	}
}

// Median returns the usual time; 0 if it isn't known yet.
func (h *ServiceTime) Median() time.Duration { return time.Duration(h.usual.Load()) }
