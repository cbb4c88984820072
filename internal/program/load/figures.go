package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Metrics are the measures of a policy or of one organisation. Times are engine time in milliseconds.
type Metrics struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered"`
	Whole      int `json:"whole"`
	Lost       int `json:"lost"`
	Duplicated int `json:"duplicated"`
	Refused    int `json:"refused"`
	// AnsweredBeyondRate are answered requests that one exact bucket for the whole fleet would have made wait for the rate too. The
	// times to the first token leave them out.
	AnsweredBeyondRate int `json:"beyondRate"`
	// RefusedWithinRate are refusals for the rate of requests that such a bucket would have admitted at once.
	RefusedWithinRate int `json:"refusedWithinRate"`
	// OverAdmittedTokens is the most by which any interval exceeds burst plus rate times its length.
	OverAdmittedTokens ident.Tokens `json:"overAdmittedTokens"`
	// PrefixHitRate is the share of prompt tokens that came from a cache.
	PrefixHitRate float64 `json:"prefixHitRate"`
	// WastedRecompute is the share of prompt tokens that were computed although a healthy engine held them.
	WastedRecompute float64 `json:"wastedRecompute"`
	TTFTP50Ms       float64 `json:"ttftP50Ms"`
	TTFTP99Ms       float64 `json:"ttftP99Ms"`
}

// PolicyMetrics are the measures of a policy with those of each organisation.
type PolicyMetrics struct {
	Metrics
	Organisations map[ident.OrganisationID]*Metrics `json:"organisations"`
	// WorstTTFTRatio is the worst organisation's p99 of the time to first token over the fleet's.
	WorstTTFTRatio float64 `json:"worstToFleet"`
	// GainShare is the part of the possible gain in hit rate: that over leastLoad, of what the omniscient bound has over
	// it. Nil without a run of leastLoad or without anything to gain.
	GainShare *float64 `json:"gainShare,omitempty"`
	// HitRateBefore and HitRateAfter are the hit rates in the ten seconds before and after the fault of a run.
	HitRateBefore float64 `json:"hitRateBefore"`
	HitRateAfter  float64 `json:"hitRateAfter"`
	// Control is what control cost a daemon during the run, ControlIdle before it.
	Control     *ControlTraffic `json:"control"`
	ControlIdle *ControlTraffic `json:"controlIdle"`
	// Move is what became of the move of the run; nil if there was none.
	Move *MoveResult `json:"-"`
}

// collector adds up outcomes.
type collector struct {
	Metrics
	sent, answered         int
	prompt, cached, wasted ident.Tokens
	times                  *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{times: hdrhistogram.New(1, longestMicros, digits)}
}

func (c *collector) time(d time.Duration) { _ = c.times.RecordValue(max(1, d.Microseconds())) }

// add takes in an outcome of a run with the profile.
func (c *collector) add(p *Profile, o *outcome) {
	c.sent++
	switch {
	case o.err == nil:
		c.answered++
	case o.refused():
		c.Refused++
		return
	default:
		c.Lost++
		return
	}
	if o.whole {
		c.Whole++
	}
	if o.warmup {
		return
	}
	usage := o.answer.Usage
	c.prompt += usage.PromptTokens
	c.cached += usage.PromptTokensDetails.CachedTokens
	c.wasted += max(0, ident.Tokens(o.held)*p.BlockTokens-usage.PromptTokensDetails.CachedTokens)
	if o.beyond {
		c.AnsweredBeyondRate++
		return
	}
	c.time(time.Duration(float64(o.answer.TTFT) / p.TimeScale))
}

func (c *collector) figures() *Metrics {
	f := c.Metrics
	f.Sent, f.Answered = c.sent, c.answered
	if c.prompt > 0 {
		f.PrefixHitRate = float64(c.cached) / float64(c.prompt)
		f.WastedRecompute = float64(c.wasted) / float64(c.prompt)
	}
	f.TTFTP50Ms = inMs(c.times.ValueAtQuantile(50))
	f.TTFTP99Ms = inMs(c.times.ValueAtQuantile(99))
	return &f
}

func inMs(micros int64) float64 { return float64(micros) / 1000 }
