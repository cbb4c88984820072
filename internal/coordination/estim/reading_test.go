package estim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// engineModel is an engine with a known speed of reading.
type engineModel struct {
	perToken time.Duration
	// first is what each request takes beside reading; noise is the most that is added to it.
	first, noise time.Duration
}

func (e *engineModel) answer(rng *rand.Rand, tokens ident.Tokens) time.Duration {
	return e.first + time.Duration(rng.Int64N(int64(e.noise))) + time.Duration(tokens)*e.perToken
}

// feed lets the estimator see a mix of short and long prompts at engines of one model, of which one may be another.
func feed(r *PrefillTime, e, odd *engineModel, n int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		at := e
		if odd != nil && i%9 == 0 {
			at = odd
		}
		for _, tokens := range []ident.Tokens{ident.Tokens(100 + rng.IntN(800)), ident.Tokens(2000 + rng.IntN(9000))} {
			r.Observe(tokens, at.answer(rng, tokens))
		}
	}
}

func TestReadingConvergesOnThreeInstallations(t *testing.T) {
	for name, e := range map[string]*engineModel{
		"fast":   {perToken: 11 * time.Microsecond, first: 66 * time.Millisecond, noise: 20 * time.Millisecond},
		"medium": {perToken: 23 * time.Microsecond, first: 40 * time.Millisecond, noise: 30 * time.Millisecond},
		"slow":   {perToken: 120 * time.Microsecond, first: 90 * time.Millisecond, noise: 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := &PrefillTime{}
			require.Equal(t, priorPerToken, r.PerToken())
			require.False(t, r.Known())
			feed(r, e, nil, 40)
			require.True(t, r.Known())
			require.InEpsilon(t, e.perToken, r.PerToken(), 0.25)
			require.InEpsilon(t, e.first+e.noise/2, r.Overhead(), 0.25)
		})
	}
}

func TestOneOddEngineDoesNotMoveTheEstimate(t *testing.T) {
	e := &engineModel{perToken: 20 * time.Microsecond, first: 50 * time.Millisecond, noise: 20 * time.Millisecond}
	for name, odd := range map[string]*engineModel{
		"stalls":  {perToken: time.Millisecond, first: 3 * time.Second, noise: time.Second},
		"at once": {perToken: 0, first: time.Millisecond, noise: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := &PrefillTime{}
			feed(r, e, odd, 80)
			require.InEpsilon(t, e.perToken, r.PerToken(), 0.3)
		})
	}
}

func TestTheEstimateFollowsAChangeAndStaysInBounds(t *testing.T) {
	r := &PrefillTime{}
	feed(r, &engineModel{perToken: 10 * time.Microsecond, first: time.Millisecond, noise: time.Millisecond}, nil, 40)
	feed(r, &engineModel{perToken: 40 * time.Microsecond, first: time.Millisecond, noise: time.Millisecond}, nil, 100)
	require.InEpsilon(t, 40*time.Microsecond, r.PerToken(), 0.25)
	feed(r, &engineModel{perToken: time.Second, first: time.Millisecond, noise: time.Millisecond}, nil, 100)
	require.Equal(t, mostPerToken, r.PerToken())
	for range windowSize {
		r.Observe(100, time.Second)
		r.Observe(9000, time.Millisecond)
	}
	require.Equal(t, leastPerToken, r.PerToken(), "long prompts that seem faster than short ones")
}

func TestADaemonThatStartsTakesTheEstimateOfAnother(t *testing.T) {
	r := &PrefillTime{}
	r.SetPrior(0)
	require.False(t, r.Known())
	r.SetPrior(30 * time.Microsecond)
	require.Equal(t, 30*time.Microsecond, r.PerToken())
	feed(r, &engineModel{perToken: 10 * time.Microsecond, first: time.Millisecond, noise: time.Millisecond}, nil, 40)
	r.SetPrior(90 * time.Microsecond)
	require.InEpsilon(t, 10*time.Microsecond, r.PerToken(), 0.25)
}

func TestHoldingIsTheUsualTimeOfAnAnswer(t *testing.T) {
	h := &ServiceTime{}
	for range samplesLeast - 1 {
		h.Observe(time.Hour)
	}
	require.Zero(t, h.Median(), "too few")
	for i := range windowSize {
		took := 50 * time.Millisecond
		if i%5 == 0 {
			took = time.Minute
		}
		h.Observe(took)
	}
	require.Equal(t, 50*time.Millisecond, h.Median())
}
