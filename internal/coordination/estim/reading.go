// Package estim estimates what engines do from what requests show, where no configuration tells it.
package estim

import (
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

// PrefillTime estimates how long the engines of a service take to read a prompt token, from the time to the first event of
// requests that found nothing to be read before them. The zero value knows nothing; all methods may be called at once.
type PrefillTime struct {
	perToken, base atomic.Int64

	mu          sync.Mutex
	short, long prompts
}

// prompts are the last requests of one sort.
type prompts struct {
	tokens Window[ident.Tokens]
	took   Window[time.Duration]
}

func (p *prompts) add(tokens ident.Tokens, took time.Duration) {
	p.tokens.Size, p.took.Size = windowSize, windowSize
	p.tokens.Add(tokens)
	p.took.Add(took)
}

// Observe takes the time to the first event of a request with so many tokens to read and none before them.
func (r *PrefillTime) Observe(tokens ident.Tokens, took time.Duration) {
	if took <= 0 || tokens > shortMost && tokens < longLeast {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens <= shortMost {
		r.short.add(tokens, took)
	} else {
		r.long.add(tokens, took)
	}
	if r.short.took.Len() < samplesLeast || r.long.took.Len() < samplesLeast {
		return
	}
	// What both sorts have in common, such as the way to the engine and its first step, cancels out.
	shortTokens, shortTook := r.short.tokens.Median(), r.short.took.Median()
	slope := (r.long.took.Median() - shortTook) / time.Duration(r.long.tokens.Median()-shortTokens)
	slope = min(max(slope, leastPerToken), mostPerToken)
	r.perToken.Store(int64(slope))
	r.base.Store(int64(max(0, shortTook-time.Duration(shortTokens)*slope)))
}

// Overhead returns what the first event takes beside reading: the way to the engine and back, and its first step. It is 0 if
// that isn't known.
func (r *PrefillTime) Overhead() time.Duration { return time.Duration(r.base.Load()) }

// PerToken returns the time for one token.
func (r *PrefillTime) PerToken() time.Duration {
	if d := r.perToken.Load(); d > 0 {
		return time.Duration(d)
	}
	return priorPerToken
}

// Known reports whether PerToken was seen, and is not the prior.
func (r *PrefillTime) Known() bool { return r.perToken.Load() > 0 }

// SetPrior takes the estimate of another daemon unless this one has its own.
func (r *PrefillTime) SetPrior(perToken time.Duration) {
	if perToken > 0 {
		r.perToken.CompareAndSwap(0, int64(min(max(perToken, leastPerToken), mostPerToken)))
	}
}
