package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Fair keeps a virtual token counter for each organisation: what it was served, as time of its own rate. Requests of
// organisations that are ahead of the least served active one get a higher priority number, so that engines run
// them later.
type Fair struct {
	counters counters
	base     time.Time
	once     sync.Once
	// floor is the use of the least served active organisation in nanoseconds, floorAt when it was worked out.
	floor, floorAt atomic.Int64
}

// counter is the use of one organisation.
type counter struct {
	// used is in nanoseconds of the organisation's rate.
	used atomic.Int64
	// seen is the time of the last request, in nanoseconds since base.
	seen atomic.Int64
	// untold are tokens served here that no digest has carried.
	untold atomic.Int64
	rate   atomic.Int64
}

func (f *Fair) init() {
	f.once.Do(func() {
		f.base = time.Now().Add(-ActiveTime)
	})
}

func (f *Fair) since(now time.Time) int64 { return int64(now.Sub(f.base)) }

func (f *Fair) counter(org ident.OrganisationID) *counter {
	f.init()
	return f.counters.get(org)
}

// Served adds to the use of an organisation with the given rate; 0 counts as DefaultRate.
func (f *Fair) Served(org ident.OrganisationID, rate ident.TokensPerSecond, prompt, output ident.Tokens, now time.Time) {
	c := f.counter(org)
	tokens := prompt + OutputWeight*output
	c.rate.Store(int64(rate))
	c.untold.Add(int64(tokens))
	f.lift(c, f.since(now))
	c.add(tokens)
}

func (c *counter) add(tokens ident.Tokens) {
	rate := c.rate.Load()
	if rate <= 0 {
		rate = int64(DefaultRate)
	}
	c.used.Add(int64(float64(tokens) / float64(rate) * float64(time.Second)))
}

// lift notes that the organisation is active. One that comes back from idleness has saved up nothing.
func (f *Fair) lift(c *counter, t int64) {
	seen := c.seen.Load()
	c.seen.Store(t)
	if seen != 0 && t-seen < int64(ActiveTime) {
		return
	}
	floor := f.floor.Load()
	for {
		old := c.used.Load()
		if old >= floor || c.used.CompareAndSwap(old, floor) {
			return
		}
	}
}

// Priority returns the priority of the organisation's next request, from 0 to MaxPriority; lower runs first.
func (f *Fair) Priority(org ident.OrganisationID, now time.Time) int {
	c := f.counter(org)
	t := f.since(now)
	f.lift(c, t)
	f.refresh(t)
	ahead := c.used.Load() - f.floor.Load()
	return int(min(MaxPriority, max(0, ahead)/int64(PriorityQuantum)))
}

// refresh works out the floor anew when it is older than FloorTime.
func (f *Fair) refresh(t int64) {
	at := f.floorAt.Load()
	if t-at < int64(FloorTime) || !f.floorAt.CompareAndSwap(at, t) {
		return
	}
	floor := int64(math.MaxInt64)
	f.counters.each(func(_ ident.OrganisationID, c *counter) {
		if seen := c.seen.Load(); seen != 0 && t-seen < int64(ActiveTime) {
			floor = min(floor, c.used.Load())
		}
	})
	if floor != math.MaxInt64 {
		f.floor.Store(floor)
	}
}

// Delta returns the tokens served to each organisation since the last call.
func (f *Fair) Delta() []*wire.OrganisationDigest {
	f.init()
	var out []*wire.OrganisationDigest
	f.counters.each(func(org ident.OrganisationID, c *counter) {
		if n := c.untold.Swap(0); n > 0 {
			out = append(out, &wire.OrganisationDigest{OrganisationId: string(org), ServedTokens: n})
		}
	})
	return out
}

// Merge adds what another daemon has served an organisation.
func (f *Fair) Merge(d *wire.OrganisationDigest) {
	f.counter(ident.OrganisationID(d.GetOrganisationId())).add(ident.Tokens(d.GetServedTokens()))
}
