package moves

import "time"

// Traffic shares, in thousandths.
const (
	// fullSharePermille is all traffic.
	fullSharePermille = 1000
	// controlSharePermille is the share that the old version keeps as a control group while the new version soaks at
	// the last step.
	controlSharePermille = 20
	// stickyMinSharePermille is the share from which on requests with the same prefix stay on one version.
	stickyMinSharePermille = 250
	// heavyPrefixPermille is the part of a route's recent requests above which the requests of one prefix are split.
	heavyPrefixPermille = 20
	// prefixSketchCounters is the number of counters of a prefixSketch; a power of two.
	prefixSketchCounters = 1024
	// prefixSketchDecayRequests is the number of requests after which the counters of a prefixSketch are halved.
	prefixSketchDecayRequests = 4096
)

// Probes: single requests sent to the new version ahead of its share, one at a time on each daemon and route.
const (
	// probingDaemonsPerMove is the number of daemons that send probes of a move.
	probingDaemonsPerMove = 3
	// initialProbes is the budget of each route at a move's first share.
	initialProbes = 6
	// confirmationProbes is the budget of a route or organisation that becomes suspicious.
	confirmationProbes = 4
	// probeTimeout is the time after which an unanswered probe no longer blocks the next one.
	probeTimeout = 2 * time.Second
)

// Counts, digests and latency limits.
const (
	// maxCountedOrganisations is the number of organisations with counters of their own, for each move and route.
	maxCountedOrganisations = 24
	// digestRowRepeats is how often an unchanged row is sent again, in case a message is lost.
	digestRowRepeats = 2
	// digestsPerLimits is the number of digests of which one carries the latency limits.
	digestsPerLimits = 5
	// maxDigestRows bounds the rows of one digest.
	maxDigestRows = 96
	// outageWindow is the time in which failures of one upstream, seen by several daemons, count as one outage.
	outageWindow = 500 * time.Millisecond
	// refusalWindow is the time in which refusals of one upstream belong to the same outage.
	refusalWindow = 2 * time.Second
	// The buckets of latency histograms cover 1 ms to 65 s, with four buckets for each doubling.
	latencyBuckets     = 64
	bucketsPerDoubling = 4
	minBucketLatency   = time.Millisecond
	// Work classes group requests by the tokens that the engine computes before their first token: the first class
	// has fewer than firstWorkClassTokens, each further one reaches twice as far.
	workClasses          = 10
	firstWorkClassTokens = 1024
	// maxLimitMicros bounds the limit of the time between tokens that is adopted from another daemon.
	maxLimitMicros = 600_000_000
	// maxBaselineRoutes bounds the routes whose latencies are kept outside of moves.
	maxBaselineRoutes = 4096
	// ratioUnit is the latency that stands for a ratio of one in a histogram of ratios.
	ratioUnit = 100 * time.Millisecond
	// meanMaxSamples caps the weight of past samples in a mean, meanMinSamples is the number that a mean needs.
	meanMaxSamples = 256
	meanMinSamples = 4
	// limitMinSamples is the number of samples of the old version below which it sets no limit.
	limitMinSamples = 20
	// histogramDecaySamples is the number of samples after which a latency histogram is halved.
	histogramDecaySamples = 512
	// limitQuantilePermille is the quantile of the old version's latencies that a limit is based on.
	limitQuantilePermille = 950
	// itlMinTokens is the number of tokens of an answer after which its time between tokens is counted.
	itlMinTokens = 5
)

// Evidence and verdicts.
const (
	// failureRateFloor and slowRateFloor are the rates of failed and slow answers that a good version is always
	// allowed.
	failureRateFloor = 0.005
	slowRateFloor    = 0.05
	// allowedRateFactor multiplies the old version's rate of bad answers.
	allowedRateFactor = 1.25
	// priorSamples is the weight of the rate of a wider group as the prior for a narrower group.
	priorSamples = 8
	// controlDecaySamples is the number of samples of the old version after which its counts are halved.
	controlDecaySamples = 4096
	// maxAllowedRate is the highest rate of bad answers that a good version is allowed.
	maxAllowedRate = 0.9
	// organisationAlarmExtraNats is added to the alarm threshold for the evidence of a single organisation: with many
	// organisations, false alarms would be more likely.
	organisationAlarmExtraNats = 2
	// minControlRequests is the number of recent requests to the old version below which there is no comparison over
	// the same time.
	minControlRequests = 1
	// recentFailurePriorSamples is the weight of the long-term failure rate as the prior for the recent one.
	recentFailurePriorSamples = 40
	// recentHalfLife is the half-life of the recent counts of the old version.
	recentHalfLife = 3 * time.Second
	// failureAlarmNats and slowAlarmNats are the log-likelihood ratios, in nats, at which a version is judged bad.
	failureAlarmNats = 20.5
	slowAlarmNats    = 14
	// cautiousSlowAlarmNats replaces slowAlarmNats where the comparison with the old version is weaker.
	cautiousSlowAlarmNats = 24
	// warmUpTime is the time after a step in which the caches of the new version fill.
	warmUpTime = 1500 * time.Millisecond
	// coldStepPermille is the share from which on a step moves so many prefixes to cold caches that other answers
	// slow down.
	coldStepPermille = 250
	// suspicionThreshold is the fraction of an alarm threshold above which the evidence is suspicious: a daemon then
	// sends probes to confirm or clear it.
	suspicionThreshold = 0.2
)

// Control of moves.
const (
	// evaluationInterval is the time between two evaluations of all moves.
	evaluationInterval = 100 * time.Millisecond
	// writeTimeout bounds the write of one record.
	writeTimeout = 2 * time.Second
	// leaseTTL is the longest time for which a daemon may act on its last known state.
	leaseTTL = 3 * time.Second
	// maxBaselineTime bounds the time in which the old version is observed before the first step.
	maxBaselineTime = 5 * time.Second
	// baselineMinFraction is the fraction of the old version's recent answers that must have been counted against a
	// latency limit before the baseline is complete.
	baselineMinFraction = 0.7
	// takeoverAfter is how long an owner must be absent before another daemon takes over. It exceeds leaseTTL, so
	// that the former owner has stopped acting by then.
	takeoverAfter = leaseTTL + time.Second
	// exposureGrace is the longest allowed time from the stop of a version to the last request sent to it.
	exposureGrace = 2 * time.Second
	// updatePollInterval is the interval at which an operator's change waits for newer state.
	updatePollInterval = 20 * time.Millisecond
	// initialBackoff and maxBackoff bound the backoff after a failed write.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// earlyEndDivisor sets the part of a step's planned time after which a good verdict may end the step.
	earlyEndDivisor = 4
	// suspiciousStepFactor multiplies the planned time of a step whose verdict is suspicious.
	suspiciousStepFactor = 2
	// deadlineMarginDivisor sets the part of the time to the deadline that is kept as a reserve.
	deadlineMarginDivisor = 10
)
