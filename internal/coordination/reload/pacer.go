package reload

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
)

const (
	// initialEnginesPerLoad is the number of engines of a service per concurrent load until the pacer knows at which
	// concurrency loads slow each other down. Weight stores are expected to serve at least one load per six engines
	// at full speed.
	initialEnginesPerLoad = 6
	// maxLoadingShare is the largest share of a service's engines that may be unavailable for loads, however fast loads
	// are. The others serve requests.
	maxLoadingShare = 1.0 / 3
	// slowdownFactor is the ratio of load times above which a concurrency counts as too high. The lag of reports varies
	// load times by less than this.
	slowdownFactor = 1.2
	// growthDivisor sets the growth of the concurrency while loads take no longer: by 1/growthDivisor of its value.
	growthDivisor = 8
	// maxLoadTimeSamples is the number of load times kept, over all loads and for each concurrency. One load that hangs
	// doesn't change the median of five.
	maxLoadTimeSamples = 5
	// minLoadTimeSamples is the number of load times at one concurrency that are needed to use their median.
	minLoadTimeSamples = 3
	// implausibleDivisor rejects load times shorter than expectedTime/implausibleDivisor: a load that another daemon
	// ordered may end just after this daemon's order and then seems to have taken no time.
	implausibleDivisor = 3
	// maxPriorLoadTime is the longest load time that is accepted from another daemon. Loads usually take up to a few
	// seconds.
	maxPriorLoadTime = time.Minute
	// initialCheckDelay is the delay before the first check of a load while no load time is known.
	initialCheckDelay = 300 * time.Millisecond
	// firstCheckFraction is the fraction of the expected load time after which a load is checked first. It is below 1
	// because loads that take less than expected are only noticed by such a check.
	firstCheckFraction = 0.85
)

// Estimate is what the leader has learned about load times. It is sent to the other daemons, so that the next leader
// need not learn it again.
type Estimate struct {
	// LoadTime is the median time of a load; 0 if no load has been observed.
	LoadTime time.Duration
	// Concurrency is the number of engines that may load at the same time; 0 if it has not been learned.
	Concurrency int
}

// loadTimes is a window of the latest load times.
type loadTimes = estim.Window[time.Duration]

// pacer learns from observed load times how long a load takes and how many engines may load at the same time. Its zero
// value is ready to use.
type pacer struct {
	// loadTime holds the latest load times by the number of concurrent loads.
	loadTime map[int]*loadTimes
	// recent holds the latest load times of all loads. expectedTime is their median, or the prior; 0 if there is
	// neither.
	recent       loadTimes
	expectedTime time.Duration
	// concurrency is the learned number of concurrent loads; 0 if none has been learned. slowConcurrency is the
	// concurrency at which loads last took too long; 0 if there was none.
	concurrency, slowConcurrency int
}

// allowedConcurrency returns how many of engineCount engines may load at the same time.
func (p *pacer) allowedConcurrency(engineCount int) int {
	if p.concurrency > 0 {
		return min(p.concurrency, maxConcurrency(engineCount))
	}
	return max(1, (engineCount+initialEnginesPerLoad-1)/initialEnginesPerLoad)
}

// estimate returns the estimate that is sent to the other daemons.
func (p *pacer) estimate() Estimate {
	return Estimate{LoadTime: p.expectedTime, Concurrency: p.concurrency}
}

// setPrior takes over the estimate of another daemon, unless this daemon has observed loads itself.
func (p *pacer) setPrior(prior Estimate) {
	if p.recent.Len() > 0 || prior.LoadTime <= 0 || prior.LoadTime > maxPriorLoadTime {
		return
	}
	p.expectedTime, p.concurrency = prior.LoadTime, max(0, prior.Concurrency)
}

func maxConcurrency(engineCount int) int { return max(1, int(float64(engineCount)*maxLoadingShare)) }

// hasEstimate reports whether a load time is known.
func (p *pacer) hasEstimate() bool { return p.expectedTime > 0 }

// firstCheckDelay returns the delay between an order and the first check of its load.
func (p *pacer) firstCheckDelay() time.Duration {
	if !p.hasEstimate() {
		return initialCheckDelay
	}
	return time.Duration(firstCheckFraction * float64(p.expectedTime))
}

// observe adds the time of a finished load of one of engineCount engines. At most concurrentLoads of them were loading at
// the same time, this one included.
func (p *pacer) observe(loadTime time.Duration, concurrentLoads, engineCount int) {
	if p.hasEstimate() && loadTime < p.expectedTime/implausibleDivisor {
		return
	}
	if p.loadTime == nil {
		p.loadTime = map[int]*loadTimes{}
	}
	sameConcurrency := p.loadTime[concurrentLoads]
	if sameConcurrency == nil {
		sameConcurrency = &loadTimes{Size: maxLoadTimeSamples}
		p.loadTime[concurrentLoads] = sameConcurrency
	}
	sameConcurrency.Add(loadTime)
	p.recent.Size = maxLoadTimeSamples
	p.recent.Add(loadTime)
	p.expectedTime = p.recent.Median()
	current := p.allowedConcurrency(engineCount)
	if concurrentLoads != current || sameConcurrency.Len() < min(maxLoadTimeSamples, current) {
		return
	}
	fastest, median := p.fastest(), sameConcurrency.Median()
	switch {
	case fastest > 0 && median > time.Duration(slowdownFactor*float64(fastest)):
		p.slowConcurrency = current
		p.concurrency = max(minConcurrency(engineCount), min(current-1, int(float64(current)*float64(fastest)/float64(median)+0.5)))
	case p.slowConcurrency == 0 || current+concurrencyStep(current) < p.slowConcurrency:
		p.concurrency = min(current+concurrencyStep(current), maxConcurrency(engineCount))
	}
}

// minConcurrency returns the lower bound of the learned concurrency. Where the weight store serves even fewer loads at
// full speed, a lower concurrency makes each load shorter, but the whole update no faster.
func minConcurrency(engineCount int) int { return max(1, engineCount/(2*initialEnginesPerLoad)) }

func concurrencyStep(concurrency int) int { return max(1, concurrency/growthDivisor) }

// fastest returns the shortest median load time over all concurrencies with enough samples; 0 if there is none.
func (p *pacer) fastest() time.Duration {
	var out time.Duration
	for _, loadTime := range p.loadTime {
		if loadTime.Len() < minLoadTimeSamples {
			continue
		}
		if m := loadTime.Median(); out == 0 || m < out {
			out = m
		}
	}
	return out
}
