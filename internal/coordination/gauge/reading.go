// Package gauge estimates what engines do from what requests show, where no configuration tells it.
package gauge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// priorPerToken is the time taken for reading a prompt token before it is known; published engines take 11 to 23 us.
	priorPerToken = 20 * time.Microsecond
	// leastPerToken and mostPerToken bound the estimate: engines of other generations lie between them.
	leastPerToken = time.Microsecond
	mostPerToken  = time.Millisecond
	// shortMost and longLeast separate prompts whose first event hardly waits for reading from those where it does.
	shortMost ident.Tokens = 1000
	longLeast ident.Tokens = 3000
	// windowSize is how many of the last requests of each sort count: half of them may be wrong.
	windowSize = 64
	// samplesLeast is how many of each sort an estimate needs.
	samplesLeast = 8
)

// Reading estimates how long the engines of a service take to read a prompt token, from the time to the first event of
// requests that found nothing to be read before them. The zero value knows nothing; all methods may be called at once.
type Reading struct {
	perToken, base atomic.Int64

	mu          sync.Mutex
	short, long window
}

type sample struct {
	tokens ident.Tokens
	took   time.Duration
}

// window holds the last samples.
type window struct {
	samples []sample
	next    int
}

func (w *window) add(s sample) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, s)
		return
	}
	w.samples[w.next] = s
	w.next = (w.next + 1) % windowSize
}

// medians returns the medians of tokens and times.
func (w *window) medians() sample {
	tokens := make([]ident.Tokens, 0, len(w.samples))
	took := make([]time.Duration, 0, len(w.samples))
	for _, s := range w.samples {
		tokens, took = append(tokens, s.tokens), append(took, s.took)
	}
	slices.Sort(tokens)
	slices.Sort(took)
	return sample{tokens[len(tokens)/2], took[len(took)/2]}
}

// Observe takes the time to the first event of a request with so many tokens to read and none before them.
func (r *Reading) Observe(tokens ident.Tokens, took time.Duration) {
	if took <= 0 || tokens > shortMost && tokens < longLeast {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens <= shortMost {
		r.short.add(sample{tokens, took})
	} else {
		r.long.add(sample{tokens, took})
	}
	if len(r.short.samples) < samplesLeast || len(r.long.samples) < samplesLeast {
		return
	}
	// What both sorts have in common, such as the way to the engine and its first step, cancels out.
	short, long := r.short.medians(), r.long.medians()
	slope := (long.took - short.took) / time.Duration(long.tokens-short.tokens)
	slope = min(max(slope, leastPerToken), mostPerToken)
	r.perToken.Store(int64(slope))
	r.base.Store(int64(max(0, short.took-time.Duration(short.tokens)*slope)))
}

// Base returns what the first event takes beside reading: the way to the engine and back, and its first step. It is 0 if
// that isn't known.
func (r *Reading) Base() time.Duration { return time.Duration(r.base.Load()) }

// PerToken returns the time for one token.
func (r *Reading) PerToken() time.Duration {
	if d := r.perToken.Load(); d > 0 {
		return time.Duration(d)
	}
	return priorPerToken
}

// Known reports whether PerToken was seen, and is not the prior.
func (r *Reading) Known() bool { return r.perToken.Load() > 0 }

// Learn takes the estimate of another daemon unless this one has its own.
func (r *Reading) Learn(perToken time.Duration) {
	if perToken > 0 {
		r.perToken.CompareAndSwap(0, int64(min(max(perToken, leastPerToken), mostPerToken)))
	}
}
