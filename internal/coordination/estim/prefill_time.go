// Package estim estimates properties of upstreams that no configuration states (prefill time, service time, the rate
// of new tokens in caches) from the observed times and sizes of requests.
package estim

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// priorPerToken is the prefill time per token that is assumed before it is known. That of published engines is 11
	// to 23 µs.
	priorPerToken = 20 * time.Microsecond
	// minPerToken and maxPerToken bound the estimate. Engines of other generations lie between them.
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
	// maxShortTokens and minLongTokens separate short prompts, whose first event hardly depends on prefill, from long
	// ones, whose first event does. Prompts in between are ignored.
	maxShortTokens ident.Tokens = 1000
	minLongTokens  ident.Tokens = 3000
	// windowSize is the number of last requests of each kind that count. A median is right while less than half of
	// the samples are outliers.
	windowSize = 64
	// minSamples is the number of samples of each kind that an estimate needs.
	minSamples = 8
)

// PrefillTime estimates how long the engines of a service take to process a prompt token, from the time to the first
// event of requests that arrived at an engine without queued prompts. The zero value is ready for use; its methods
// may be called concurrently.
type PrefillTime struct {
	perToken, overhead atomic.Int64

	mu                        sync.Mutex
	shortPrompts, longPrompts promptSamples
}

// promptSamples are the last requests of one kind, short or long.
type promptSamples struct {
	tokens Window[ident.Tokens]
	took   Window[time.Duration]
}

func (p *promptSamples) add(tokens ident.Tokens, took time.Duration) {
	p.tokens.Size, p.took.Size = windowSize, windowSize
	p.tokens.Add(tokens)
	p.took.Add(took)
}

// Observe adds the time to the first event of a request, with its number of uncached prompt tokens. No other prompt
// may have been queued before it.
func (p *PrefillTime) Observe(tokens ident.Tokens, took time.Duration) {
	if took <= 0 || tokens > maxShortTokens && tokens < minLongTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if tokens <= maxShortTokens {
		p.shortPrompts.add(tokens, took)
	} else {
		p.longPrompts.add(tokens, took)
	}
	if p.shortPrompts.took.Len() < minSamples || p.longPrompts.took.Len() < minSamples {
		return
	}
	// The slope between the medians of short and long prompts leaves out what both have in common, such as the
	// network and the first decoding step.
	shortTokens, shortTook := p.shortPrompts.tokens.Median(), p.shortPrompts.took.Median()
	slope := (p.longPrompts.took.Median() - shortTook) / time.Duration(p.longPrompts.tokens.Median()-shortTokens)
	slope = min(max(slope, minPerToken), maxPerToken)
	p.perToken.Store(int64(slope))
	p.overhead.Store(int64(max(0, shortTook-time.Duration(shortTokens)*slope)))
}

// Overhead returns the part of the time to the first event that does not depend on the prompt: the network and the
// first decoding step. It is 0 if that is not known.
func (p *PrefillTime) Overhead() time.Duration { return time.Duration(p.overhead.Load()) }

// PerToken returns the prefill time of one token, or a default if it is not known.
func (p *PrefillTime) PerToken() time.Duration {
	if d := p.perToken.Load(); d > 0 {
		return time.Duration(d)
	}
	return priorPerToken
}

// Known reports whether PerToken was observed here or by another daemon, and is not the default.
func (p *PrefillTime) Known() bool { return p.perToken.Load() > 0 }

// SetPrior takes the estimate of another daemon unless this one has an estimate.
func (p *PrefillTime) SetPrior(perToken time.Duration) {
	if perToken > 0 {
		p.perToken.CompareAndSwap(0, int64(min(max(perToken, minPerToken), maxPerToken)))
	}
}
