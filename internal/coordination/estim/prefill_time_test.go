package estim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// engineModel is an engine with a known prefill time.
type engineModel struct {
	perToken time.Duration
	// overhead is the time of each request without prefill; up to maxNoise is added to it at random.
	overhead, maxNoise time.Duration
}

// firstEventAfter returns the time to the first event of a request.
func (e *engineModel) firstEventAfter(rng *rand.Rand, tokens ident.Tokens) time.Duration {
	return e.overhead + time.Duration(rng.Int64N(int64(e.maxNoise))) + time.Duration(tokens)*e.perToken
}

// observePrompts adds n short and n long prompts at engines like usual, of which every ninth is at the outlier if
// there is one.
func observePrompts(p *PrefillTime, usual, outlier *engineModel, n int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		engine := usual
		if outlier != nil && i%9 == 0 {
			engine = outlier
		}
		for _, tokens := range []ident.Tokens{ident.Tokens(100 + rng.IntN(800)), ident.Tokens(2000 + rng.IntN(9000))} {
			p.Observe(tokens, engine.firstEventAfter(rng, tokens))
		}
	}
}

// Guards against an estimate that includes the overhead of a request or fails at engines faster or slower than the
// default.
func TestPrefillTimeConverges(t *testing.T) {
	for name, e := range map[string]*engineModel{
		"fast":   {perToken: 11 * time.Microsecond, overhead: 66 * time.Millisecond, maxNoise: 20 * time.Millisecond},
		"medium": {perToken: 23 * time.Microsecond, overhead: 40 * time.Millisecond, maxNoise: 30 * time.Millisecond},
		"slow":   {perToken: 120 * time.Microsecond, overhead: 90 * time.Millisecond, maxNoise: 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := &PrefillTime{}
			require.Equal(t, priorPerToken, p.PerToken())
			require.False(t, p.Known())
			observePrompts(p, e, nil, 40)
			require.True(t, p.Known())
			require.InEpsilon(t, e.perToken, p.PerToken(), 0.25)
			require.InEpsilon(t, e.overhead+e.maxNoise/2, p.Overhead(), 0.25)
		})
	}
}

// Guards against an estimate that one engine in nine distorts, because it stalls or responds without prefill.
func TestPrefillTimeIgnoresOneOutlierEngine(t *testing.T) {
	e := &engineModel{perToken: 20 * time.Microsecond, overhead: 50 * time.Millisecond, maxNoise: 20 * time.Millisecond}
	for name, outlier := range map[string]*engineModel{
		"stalls":  {perToken: time.Millisecond, overhead: 3 * time.Second, maxNoise: time.Second},
		"instant": {perToken: 0, overhead: time.Millisecond, maxNoise: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := &PrefillTime{}
			observePrompts(p, e, outlier, 80)
			require.InEpsilon(t, e.perToken, p.PerToken(), 0.3)
		})
	}
}

// Guards against an estimate that keeps old samples after engines change, and against absurd values from absurd
// samples.
func TestPrefillTimeFollowsChangeWithinBounds(t *testing.T) {
	p := &PrefillTime{}
	observePrompts(p, &engineModel{perToken: 10 * time.Microsecond, overhead: time.Millisecond, maxNoise: time.Millisecond}, nil, 40)
	observePrompts(p, &engineModel{perToken: 40 * time.Microsecond, overhead: time.Millisecond, maxNoise: time.Millisecond}, nil, 100)
	require.InEpsilon(t, 40*time.Microsecond, p.PerToken(), 0.25)
	observePrompts(p, &engineModel{perToken: time.Second, overhead: time.Millisecond, maxNoise: time.Millisecond}, nil, 100)
	require.Equal(t, maxPerToken, p.PerToken())
	for range windowSize {
		p.Observe(100, time.Second)
		p.Observe(9000, time.Millisecond)
	}
	require.Equal(t, minPerToken, p.PerToken(), "long prompts measured as faster than short ones")
}

// Guards against a daemon that starts with the default although a peer has an estimate, and against a peer that
// overwrites the daemon's own estimate.
func TestPriorIsUsedUntilPrefillTimeIsKnown(t *testing.T) {
	p := &PrefillTime{}
	p.SetPrior(0)
	require.False(t, p.Known())
	p.SetPrior(30 * time.Microsecond)
	require.Equal(t, 30*time.Microsecond, p.PerToken())
	observePrompts(p, &engineModel{perToken: 10 * time.Microsecond, overhead: time.Millisecond, maxNoise: time.Millisecond}, nil, 40)
	p.SetPrior(90 * time.Microsecond)
	require.InEpsilon(t, 10*time.Microsecond, p.PerToken(), 0.25)
}

// Guards against a service time that a few very long requests distort.
func TestServiceTimeIsMedian(t *testing.T) {
	s := &ServiceTime{}
	for range minSamples - 1 {
		s.Observe(time.Hour)
	}
	require.Zero(t, s.Median(), "too few samples")
	for i := range windowSize {
		took := 50 * time.Millisecond
		if i%5 == 0 {
			took = time.Minute
		}
		s.Observe(took)
	}
	require.Equal(t, 50*time.Millisecond, s.Median())
}
