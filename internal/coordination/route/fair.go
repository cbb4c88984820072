package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FairShare keeps a virtual token counter for each organisation, which its requests fill and its rate drains. Requests of
// an organisation that has used more than half of its burst get a higher priority number, so that engines run them
// later; one within its rate waits for nobody's burst. Reads and updates take no lock.
type FairShare struct {
	once  sync.Once
	base  time.Time
	byOrg sync.Map // ident.OrganisationID to *counter
}

// counter is the use of one organisation.
type counter struct {
	// drained is when its rate will have made up for its use, in nanoseconds since base.
	drained atomic.Int64
	// rate in tokens a second, as last seen; 0 is unknown.
	rate atomic.Int64
	// untold are tokens served here that no digest has carried.
	untold atomic.Int64
}

func (f *FairShare) counter(org ident.OrganisationID) *counter {
	f.once.Do(func() { f.base = time.Now() })
	v, ok := f.byOrg.Load(org)
	if !ok {
		v, _ = f.byOrg.LoadOrStore(org, &counter{})
	}
	c, _ := v.(*counter)
	return c
}

// add counts tokens at the time t since base.
func (c *counter) add(tokens ident.Tokens, t time.Duration) {
	rate := c.rate.Load()
	if rate <= 0 {
		return
	}
	cost := int64(float64(tokens) / float64(rate) * float64(time.Second))
	for {
		old := c.drained.Load()
		if c.drained.CompareAndSwap(old, max(old, int64(t))+cost) {
			return
		}
	}
}

// AddServed adds tokens to the use of an organisation with the given rate; 0 is no rate.
func (f *FairShare) AddServed(org ident.OrganisationID, rate ident.TokensPerSecond, tokens ident.Tokens, now time.Time) {
	c := f.counter(org)
	c.rate.Store(int64(rate))
	c.untold.Add(int64(tokens))
	c.add(tokens, now.Sub(f.base))
}

// Priority returns the priority of the next request of an organisation with the given rate and burst, from 0 to
// MaxPriority; lower runs first. It is 0 up to half of the burst and rises evenly with the other half.
func (f *FairShare) Priority(org ident.OrganisationID, rate ident.TokensPerSecond, burst ident.Tokens, now time.Time) int {
	if rate <= 0 {
		return 0
	}
	half := time.Duration(float64(burst) / float64(rate) * float64(time.Second) / 2)
	half = max(half, MinAllowance)
	ahead := time.Duration(f.counter(org).drained.Load()) - now.Sub(f.base)
	if ahead <= half {
		return 0
	}
	return int(min(MaxPriority, 1+MaxPriority*(ahead-half)/half))
}

// Delta returns the tokens served to each organisation since the last call.
func (f *FairShare) Delta() []*wire.OrganisationDigest {
	var out []*wire.OrganisationDigest
	f.byOrg.Range(func(k, v any) bool {
		org, _ := k.(ident.OrganisationID)
		c, _ := v.(*counter)
		if n := c.untold.Swap(0); n > 0 {
			out = append(out, &wire.OrganisationDigest{OrganisationId: string(org), ServedTokens: n})
		}
		return true
	})
	return out
}

// Merge adds what another daemon has served an organisation.
func (f *FairShare) Merge(d *wire.OrganisationDigest) {
	c := f.counter(ident.OrganisationID(d.GetOrganisationId()))
	c.add(ident.Tokens(d.GetServedTokens()), time.Since(f.base))
}
