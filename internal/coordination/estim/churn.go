package estim

import (
	"math"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// churnHalfLife is the time in which what came counts half as much.
	churnHalfLife = 4 * time.Second
	// churnKnownAfter is how long tokens are counted before the rate counts as known.
	churnKnownAfter = 4 * time.Second
)

// FillRate estimates how many tokens a second come new into caches. The zero value knows nothing; all methods may be called at
// once.
type FillRate struct {
	mu sync.Mutex
	// sum decays; it is the rate times the mean life of a token in it.
	sum   float64
	at    time.Time
	begun time.Time
}

// Add counts tokens that come new now.
func (c *FillRate) Add(tokens ident.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.begun.IsZero() {
		c.begun = now
	}
	c.sum = faded(c.sum, now.Sub(c.at), churnHalfLife) + float64(tokens)
	c.at = now
}

// PerSecond returns the rate; false while it isn't known yet.
func (c *FillRate) PerSecond() (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.begun.IsZero() || now.Sub(c.begun) < churnKnownAfter {
		return 0, false
	}
	meanLife := churnHalfLife.Seconds() / math.Ln2
	// What came before the first token is not part of the sum.
	seen := 1 - faded(1, now.Sub(c.begun), churnHalfLife)
	return faded(c.sum, now.Sub(c.at), churnHalfLife) / (meanLife * seen), true
}
