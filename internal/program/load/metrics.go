package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Metrics are the results of a policy for all requests or for one organisation. Times are engine time in milliseconds.
type Metrics struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// TextCorrect counts responses with exactly the expected text.
	TextCorrect int `json:"whole"`
	// Lost counts requests that failed without a response or in the middle of a stream.
	Lost int `json:"lost"`
	// Duplicated counts requests that one engine started again from the first token. It is not counted for an organisation.
	Duplicated int `json:"duplicated"`
	Rejected   int `json:"refused"`
	// AnsweredBeyondRate counts answered requests that an exact token bucket for the whole fleet would also have delayed.
	// They are left out of the times to first token.
	AnsweredBeyondRate int `json:"beyondRate"`
	// RejectedWithinRate counts requests that were rejected by the rate limit although such a bucket would have admitted them
	// at once.
	RejectedWithinRate int `json:"refusedWithinRate"`
	// OverAdmittedTokens is the largest number of tokens by which the admissions of any interval exceed burst plus rate
	// times the interval's length. For all requests, it is the largest of the organisations.
	OverAdmittedTokens ident.Tokens `json:"overAdmittedTokens"`
	// PrefixHitRate is the share of prompt tokens that came from a cache.
	PrefixHitRate float64 `json:"prefixHitRate"`
	// WastedRecompute is the share of prompt tokens that were computed although some engine had them in its cache.
	WastedRecompute float64 `json:"wastedRecompute"`
	TTFTP50Ms       float64 `json:"ttftP50Ms"`
	TTFTP99Ms       float64 `json:"ttftP99Ms"`
}

// PolicyMetrics are the results of a policy for all requests and for each organisation.
type PolicyMetrics struct {
	Metrics
	Organisations map[ident.OrganisationID]*Metrics `json:"organisations"`
	// WorstTTFTRatio is the largest TTFT p99 of an organisation divided by that of all requests.
	WorstTTFTRatio float64 `json:"worstToFleet"`
	// GainShare is the policy's gain in hit rate over leastLoad, as a share of the gain of the omniscient bound. Nil if
	// leastLoad was not run or the bound is no better than it.
	GainShare *float64 `json:"gainShare,omitempty"`
	// HitRateBefore and HitRateAfter are the prefix hit rates in the ten seconds of engine time before and after the middle
	// of the run, when faults are injected.
	HitRateBefore float64 `json:"hitRateBefore"`
	HitRateAfter  float64 `json:"hitRateAfter"`
	// Control is the control traffic of a daemon during the run, ControlIdle that before the first request.
	Control     *ControlTraffic `json:"control"`
	ControlIdle *ControlTraffic `json:"controlIdle"`
	// Move is the result of the run's move; nil if there was none.
	Move *MoveResult `json:"-"`
}

// collector aggregates outcomes into Metrics.
type collector struct {
	Metrics
	sent, answered                           int
	promptTokens, cachedTokens, wastedTokens ident.Tokens
	ttftMicros                               *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{ttftMicros: hdrhistogram.New(1, maxHistogramMicros, histogramSignificantDigits)}
}

func (c *collector) recordTTFT(d time.Duration) {
	_ = c.ttftMicros.RecordValue(max(1, d.Microseconds()))
}

// add adds an outcome of a run with the profile.
func (c *collector) add(p *Profile, o *outcome) {
	c.sent++
	switch {
	case o.err == nil:
		c.answered++
	case o.rejected():
		c.Rejected++
		return
	default:
		c.Lost++
		return
	}
	if o.textCorrect {
		c.TextCorrect++
	}
	if o.warmup {
		return
	}
	usage := o.response.Usage
	c.promptTokens += usage.PromptTokens
	c.cachedTokens += usage.PromptTokensDetails.CachedTokens
	c.wastedTokens += max(0, ident.Tokens(o.cachedBlocks)*p.BlockTokens-usage.PromptTokensDetails.CachedTokens)
	if o.overIdealRate {
		c.AnsweredBeyondRate++
		return
	}
	c.recordTTFT(time.Duration(float64(o.response.TTFT) / p.TimeScale))
}

func (c *collector) metrics() *Metrics {
	metrics := c.Metrics
	metrics.Sent, metrics.Answered = c.sent, c.answered
	if c.promptTokens > 0 {
		metrics.PrefixHitRate = float64(c.cachedTokens) / float64(c.promptTokens)
		metrics.WastedRecompute = float64(c.wastedTokens) / float64(c.promptTokens)
	}
	metrics.TTFTP50Ms = microsToMs(c.ttftMicros.ValueAtQuantile(50))
	metrics.TTFTP99Ms = microsToMs(c.ttftMicros.ValueAtQuantile(99))
	return &metrics
}

func microsToMs(micros int64) float64 { return float64(micros) / 1000 }
