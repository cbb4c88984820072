package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// result holds the measurements of one simulation.
type result struct {
	promptTokens, cachedTokens, wastedTokens ident.Tokens
	ttft                                     []time.Duration
	byOrg                                    [organisationCount][]time.Duration
	// beforeRestart and afterRestart hold the cached and the prompt tokens in the 10 s around the restart.
	beforeRestart, afterRestart [2]ident.Tokens
}

func (o *result) hitRate() float64     { return float64(o.cachedTokens) / float64(o.promptTokens) }
func (o *result) wastedShare() float64 { return float64(o.wastedTokens) / float64(o.promptTokens) }

// worstOrganisationRatio returns the worst p99 of an organisation's TTFT relative to the p99 of all requests.
func (o *result) worstOrganisationRatio() float64 {
	worst := time.Duration(0)
	for i := range o.byOrg {
		worst = max(worst, quantile(o.byOrg[i], 0.99))
	}
	return float64(worst) / float64(quantile(o.ttft, 0.99))
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = slices.Clone(all)
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// cachedShare returns the hit rate of a pair of cached and prompt tokens.
func cachedShare(tokens [2]ident.Tokens) float64 {
	return float64(tokens[0]) / float64(max(1, tokens[1]))
}

// recordWasted counts tokens that the engine computes although another engine has them in its cache.
func (x *simulationRun) recordWasted(e *fakeEngine, req *Request, started time.Duration) {
	if started < warmUp {
		return
	}
	mostCached := 0
	for _, other := range x.engines {
		if !other.down {
			mostCached = max(mostCached, other.cachedPrefix(req.Chain))
		}
	}
	x.result.wastedTokens += ident.Tokens(mostCached-e.cachedPrefix(req.Chain)) * blockTokens
}

// record counts a first token; requests sent during the warm-up count only around the restart.
func (x *simulationRun) record(req *Request, org int, cached ident.Tokens, started time.Duration) {
	restartAt := x.duration / 2
	tokens := [2]ident.Tokens{cached, req.PromptTokens}
	if since := started - restartAt; since >= 0 && since < 10*time.Second {
		x.result.afterRestart = [2]ident.Tokens{x.result.afterRestart[0] + tokens[0], x.result.afterRestart[1] + tokens[1]}
	} else if since < 0 && since >= -10*time.Second {
		x.result.beforeRestart = [2]ident.Tokens{x.result.beforeRestart[0] + tokens[0], x.result.beforeRestart[1] + tokens[1]}
	}
	if started < warmUp {
		return
	}
	ttft := x.scheduler.now() - started
	x.result.promptTokens += req.PromptTokens
	x.result.cachedTokens += cached
	x.result.ttft = append(x.result.ttft, ttft)
	x.result.byOrg[org] = append(x.result.byOrg[org], ttft)
}

// summary is the mean of simulations with several seeds.
type summary struct {
	requests                                                                  int
	hitRate, wastedShare, worstOrganisationRatio, beforeRestart, afterRestart float64
	p50, p99                                                                  float64                    // milliseconds
	organisationP99                                                           [organisationCount]float64 // p99 in milliseconds
}

func (sim simulation) measureSeeds(t *testing.T, seeds uint64) summary {
	t.Helper()
	sim.duration, sim.restart = *durationFlag, true
	var sum summary
	n := float64(seeds)
	for i := range seeds {
		sim.seed = *seedFlag + i
		o := sim.run(t)
		sum.requests += len(o.ttft)
		for i := range o.byOrg {
			sum.organisationP99[i] += ms(quantile(o.byOrg[i], 0.99)) / n
		}
		sum.hitRate += o.hitRate() / n
		sum.wastedShare += o.wastedShare() / n
		sum.worstOrganisationRatio += o.worstOrganisationRatio() / n
		sum.beforeRestart += cachedShare(o.beforeRestart) / n
		sum.afterRestart += cachedShare(o.afterRestart) / n
		sum.p50 += ms(quantile(o.ttft, 0.5)) / n
		sum.p99 += ms(quantile(o.ttft, 0.99)) / n
	}
	return sum
}

func (s summary) String() string {
	return fmt.Sprintf("n=%5d hit %.3f p50 %6.0f ms p99 %6.0f ms wasted %.3f worst org %.2f %.0f restart %.3f -> %.3f",
		s.requests, s.hitRate, s.p50, s.p99, s.wastedShare, s.worstOrganisationRatio, s.organisationP99, s.beforeRestart, s.afterRestart)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
