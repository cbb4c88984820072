package gauge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Holding estimates how long a request holds its place at an upstream of a service. The zero value knows nothing; all
// methods may be called at once.
type Holding struct {
	usual atomic.Int64

	mu   sync.Mutex
	last []time.Duration
	next int
}

// Observe takes the time of a request from its sending to the end of its answer.
func (h *Holding) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.last) < windowSize {
		h.last = append(h.last, took)
	} else {
		h.last[h.next] = took
		h.next = (h.next + 1) % windowSize
	}
	if len(h.last) < samplesLeast {
		return
	}
	sorted := slices.Sorted(slices.Values(h.last))
	h.usual.Store(int64(sorted[len(sorted)/2]))
}

// Usual returns the usual time; 0 if it isn't known yet.
func (h *Holding) Usual() time.Duration { return time.Duration(h.usual.Load()) }
