package estim

import (
	"math"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// fillRateHalfLife is the time in which the weight of a token in the rate decays to a half.
	fillRateHalfLife = 4 * time.Second
	// fillRateWarmUp is how long tokens have to be counted before the rate is known.
	fillRateWarmUp = 4 * time.Second
)

// FillRate estimates how many tokens per second that were not cached before are added to caches. The zero value is
// ready for use; its methods may be called concurrently.
type FillRate struct {
	mu sync.Mutex
	// decayedTokens is the decayed sum of all tokens: the rate times the mean lifetime of a token in the sum.
	decayedTokens float64
	updatedAt     time.Time
	startedAt     time.Time
}

// Add counts tokens that are added now.
func (f *FillRate) Add(tokens ident.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	f.decayedTokens = decayed(f.decayedTokens, now.Sub(f.updatedAt), fillRateHalfLife) + float64(tokens)
	f.updatedAt = now
}

// PerSecond returns the rate in tokens per second, and false while it is not known yet.
func (f *FillRate) PerSecond() (float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.startedAt.IsZero() || now.Sub(f.startedAt) < fillRateWarmUp {
		return 0, false
	}
	meanLife := fillRateHalfLife.Seconds() / math.Ln2
	// The sum lacks the tokens from before the first call of Add.
	observedShare := 1 - decayed(1, now.Sub(f.startedAt), fillRateHalfLife)
	return decayed(f.decayedTokens, now.Sub(f.updatedAt), fillRateHalfLife) / (meanLife * observedShare), true
}
