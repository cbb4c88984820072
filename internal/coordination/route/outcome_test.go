package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// outcome is what a trial measured.
type outcome struct {
	prompt, cached, wasted ident.Tokens
	ttft                   []time.Duration
	byOrg                  [organisation][]time.Duration
	// windows are the hit rates before and after the restart.
	before, after [2]ident.Tokens
}

func (o *outcome) hitRate() float64     { return float64(o.cached) / float64(o.prompt) }
func (o *outcome) wastedShare() float64 { return float64(o.wasted) / float64(o.prompt) }
func (o *outcome) worstOrg() float64 {
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

func share(part [2]ident.Tokens) float64 { return float64(part[0]) / float64(max(1, part[1])) }

// waste counts tokens that the engine computes and that some other holds.
func (x *run) waste(e *fakeEngine, req *Request, started time.Duration) {
	if started < warmUp {
		return
	}
	most := 0
	for _, other := range x.engines {
		if !other.down {
			most = max(most, other.held(req.Chain))
		}
	}
	x.out.wasted += ident.Tokens(most-e.held(req.Chain)) * blockTokens
}

func (x *run) record(req *Request, org int, cached ident.Tokens, started time.Duration) {
	half := x.length / 2
	part := [2]ident.Tokens{cached, req.PromptTokens}
	if since := started - half; since >= 0 && since < 10*time.Second {
		x.out.after = [2]ident.Tokens{x.out.after[0] + part[0], x.out.after[1] + part[1]}
	} else if since < 0 && since >= -10*time.Second {
		x.out.before = [2]ident.Tokens{x.out.before[0] + part[0], x.out.before[1] + part[1]}
	}
	if started < warmUp {
		return
	}
	ttft := x.line.now() - started
	x.out.prompt += req.PromptTokens
	x.out.cached += cached
	x.out.ttft = append(x.out.ttft, ttft)
	x.out.byOrg[org] = append(x.out.byOrg[org], ttft)
}

// summary is the mean of trials with several seeds.
type summary struct {
	requests                          int
	hit, wasted, worst, before, after float64
	p50, p99                          float64               // milliseconds
	orgs                              [organisation]float64 // p99 in milliseconds
}

func (tr trial) measure(t *testing.T, seeds uint64) summary {
	t.Helper()
	tr.length, tr.restart = *timeFlag, true
	var sum summary
	n := float64(seeds)
	for i := range seeds {
		tr.seed = *seedFlag + i
		o := tr.run(t)
		sum.requests += len(o.ttft)
		for i := range o.byOrg {
			sum.orgs[i] += ms(quantile(o.byOrg[i], 0.99)) / n
		}
		sum.hit += o.hitRate() / n
		sum.wasted += o.wastedShare() / n
		sum.worst += o.worstOrg() / n
		sum.before += share(o.before) / n
		sum.after += share(o.after) / n
		sum.p50 += ms(quantile(o.ttft, 0.5)) / n
		sum.p99 += ms(quantile(o.ttft, 0.99)) / n
	}
	return sum
}

func (s summary) String() string {
	return fmt.Sprintf("n=%5d hit %.3f p50 %6.0f ms p99 %6.0f ms wasted %.3f worst org %.2f %.0f restart %.3f -> %.3f",
		s.requests, s.hit, s.p50, s.p99, s.wasted, s.worst, s.orgs, s.before, s.after)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
