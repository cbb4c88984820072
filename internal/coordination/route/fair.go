package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FairShare keeps a token counter for each organisation: its requests fill the counter, its rate drains it. Requests of an
// organisation that has used more than half of its burst get a higher priority number, so that engines run them later
// and organisations within their rate do not wait behind another's burst. Reads and updates take no lock.
type FairShare struct {
	once     sync.Once
	epoch    time.Time
	counters sync.Map // ident.OrganisationID to *tokenCounter
}

// tokenCounter is the usage of one organisation.
type tokenCounter struct {
	// drainedAt is when the rate will have drained the counter, in nanoseconds since the epoch of FairShare.
	drainedAt atomic.Int64
	// rate is the latest known rate in tokens per second; 0 if unknown.
	rate atomic.Int64
	// unsentTokens is the number of tokens served by this daemon that no digest has reported yet.
	unsentTokens atomic.Int64
}

// counterOf returns the counter of an organisation, created on first use.
func (f *FairShare) counterOf(org ident.OrganisationID) *tokenCounter {
	f.once.Do(func() { f.epoch = time.Now() })
	v, ok := f.counters.Load(org)
	if !ok {
		v, _ = f.counters.LoadOrStore(org, &tokenCounter{})
	}
	c, _ := v.(*tokenCounter)
	return c
}

// add counts tokens at the time t since the epoch. It does nothing while the rate is unknown.
func (c *tokenCounter) add(tokens ident.Tokens, t time.Duration) {
	rate := c.rate.Load()
	if rate <= 0 {
		return
	}
	cost := int64(float64(tokens) / float64(rate) * float64(time.Second))
	for {
		old := c.drainedAt.Load()
		if c.drainedAt.CompareAndSwap(old, max(old, int64(t))+cost) {
			return
		}
	}
}

// AddServed adds tokens to the usage of an organisation with the given rate; a rate of 0 means no rate limit.
func (f *FairShare) AddServed(org ident.OrganisationID, rate ident.TokensPerSecond, tokens ident.Tokens, now time.Time) {
	c := f.counterOf(org)
	c.rate.Store(int64(rate))
	c.unsentTokens.Add(int64(tokens))
	c.add(tokens, now.Sub(f.epoch))
}

// Priority returns the priority of the next request of an organisation with the given rate and burst, from 0 to
// MaxPriority; lower runs first. It is 0 up to half of the burst, or MinAllowance if that is longer, and rises linearly
// over the same amount again.
func (f *FairShare) Priority(org ident.OrganisationID, rate ident.TokensPerSecond, burst ident.Tokens, now time.Time) int {
	if rate <= 0 {
		return 0
	}
	allowance := time.Duration(float64(burst) / float64(rate) * float64(time.Second) / 2)
	allowance = max(allowance, MinAllowance)
	excess := time.Duration(f.counterOf(org).drainedAt.Load()) - now.Sub(f.epoch)
	if excess <= allowance {
		return 0
	}
	return int(min(MaxPriority, 1+MaxPriority*(excess-allowance)/allowance))
}

// Delta returns the tokens that this daemon has served to each organisation since the last call.
func (f *FairShare) Delta() []*wire.OrganisationDigest {
	var out []*wire.OrganisationDigest
	f.counters.Range(func(k, v any) bool {
		org, _ := k.(ident.OrganisationID)
		c, _ := v.(*tokenCounter)
		if n := c.unsentTokens.Swap(0); n > 0 {
			out = append(out, &wire.OrganisationDigest{OrganisationId: string(org), ServedTokens: n})
		}
		return true
	})
	return out
}

// Merge adds the tokens that another daemon has served to an organisation.
func (f *FairShare) Merge(d *wire.OrganisationDigest) {
	c := f.counterOf(ident.OrganisationID(d.GetOrganisationId()))
	c.add(ident.Tokens(d.GetServedTokens()), time.Since(f.epoch))
}
