package quota

import (
	"fmt"
	"math/big"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// charge is one admitted request: its cost counts as used tokens once it is settled, before that as reserved.
type charge struct {
	at       time.Time
	reserved ident.Tokens
	used     ident.Tokens
	settled  bool
}

// limitChange is a limit that is valid from a time on.
type limitChange struct {
	validFrom time.Time
	limit     Limit
}

// oracle checks all charges of one organisation against its limits, exactly.
type oracle struct {
	mu      sync.Mutex
	charges []*charge
	limits  []limitChange
}

func (o *oracle) admit(cost ident.Tokens) *charge {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &charge{at: time.Now(), reserved: cost}
	o.charges = append(o.charges, c)
	return c
}

func (o *oracle) settle(c *charge, used ident.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.used, c.settled = used, true
}

// excess returns by how many tokens the first charge over the limit exceeds it, and which charge that is; 0 when no
// interval of t seconds has admitted more than burst + rate × t. It replays the charges on one bucket, which runs
// short exactly when some interval exceeds the limit. Like the buckets of the fleet, it starts empty.
func (o *oracle) excess() (ident.Tokens, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	charges := slices.Clone(o.charges)
	slices.SortStableFunc(charges, func(a, b *charge) int { return a.at.Compare(b.at) })
	second := big.NewInt(int64(time.Second))
	scaled := func(n ident.Tokens) *big.Int { return new(big.Int).Mul(big.NewInt(int64(n)), second) }
	limits := o.limits
	level, last := new(big.Int), limits[0].validFrom
	refill := func(until time.Time) {
		add := new(big.Int).Mul(big.NewInt(int64(limits[0].limit.Rate)), big.NewInt(int64(until.Sub(last))))
		level.Add(level, add)
		if full := scaled(limits[0].limit.Burst); level.Cmp(full) > 0 {
			level = full
		}
		last = until
	}
	for _, c := range charges {
		for len(limits) > 1 && !limits[1].validFrom.After(c.at) {
			refill(limits[1].validFrom)
			limits = limits[1:]
			refill(last)
		}
		refill(c.at)
		n := c.reserved
		if c.settled {
			n = c.used
		}
		level.Sub(level, scaled(n))
		if level.Sign() < 0 {
			missing := new(big.Int).Div(level, second)
			return ident.Tokens(-missing.Int64()), fmt.Sprintf("at %v, %d tokens", c.at, n)
		}
	}
	return 0, ""
}
