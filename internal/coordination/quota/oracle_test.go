package quota

import (
	"fmt"
	"math/big"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// charge is one admitted request: its tokens count as used when it has ended, else as reserved.
type charge struct {
	at       time.Time
	reserved ident.Tokens
	used     ident.Tokens
	ended    bool
}

// change is a limit that holds from a time on.
type change struct {
	at    time.Time
	limit Limit
}

// oracle checks all charges of one organisation against its limits, exactly.
type oracle struct {
	mu      sync.Mutex
	charges []*charge
	limits  []change
}

func (o *oracle) admit(cost ident.Tokens) *charge {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &charge{at: time.Now(), reserved: cost}
	o.charges = append(o.charges, c)
	return c
}

func (o *oracle) end(c *charge, used ident.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.used, c.ended = used, true
}

// over returns the most tokens that any interval so far admitted above burst + rate × t; 0 when none did.
// It replays the charges on one bucket, which lacks tokens just when some interval is above. Like the fleet's, the
// bucket starts empty.
func (o *oracle) over() (ident.Tokens, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	charges := slices.Clone(o.charges)
	slices.SortStableFunc(charges, func(a, b *charge) int { return a.at.Compare(b.at) })
	second := big.NewInt(int64(time.Second))
	scaled := func(n ident.Tokens) *big.Int { return new(big.Int).Mul(big.NewInt(int64(n)), second) }
	limits := o.limits
	level, last := new(big.Int), limits[0].at
	mint := func(until time.Time) {
		add := new(big.Int).Mul(big.NewInt(int64(limits[0].limit.Rate)), big.NewInt(int64(until.Sub(last))))
		level.Add(level, add)
		if full := scaled(limits[0].limit.Burst); level.Cmp(full) > 0 {
			level = full
		}
		last = until
	}
	for _, c := range charges {
		for len(limits) > 1 && !limits[1].at.After(c.at) {
			mint(limits[1].at)
			limits = limits[1:]
			mint(last)
		}
		mint(c.at)
		n := c.reserved
		if c.ended {
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
