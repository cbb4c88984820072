package gauge

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holding estimates how long a request holds its place at an upstream of a service. The zero value knows nothing; all
// methods may be called at once.
type Holding struct {
	usual atomic.Int64

	mu   sync.Mutex
	last Window[time.Duration]
}

// Observe takes the time of a request from its sending to the end of its answer.
func (h *Holding) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last.Size = windowSize
	h.last.Add(took)
	if h.last.Len() >= samplesLeast {
		h.usual.Store(int64(h.last.Median()))
	}
}

// Usual returns the usual time; 0 if it isn't known yet.
func (h *Holding) Usual() time.Duration { return time.Duration(h.usual.Load()) }
