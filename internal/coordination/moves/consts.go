package moves

import "time"

// Shares.
const (
	// wholePermille is all traffic, in thousandths.
	wholePermille = 1000
	// controlPermille is what the old version still gets while the new one, at its last step, is watched.
	controlPermille = 20
	// stickyFromPermille is the share from which families of prefixes stay on one version.
	stickyFromPermille = 250
	// heavyFamilyPermille is the part of a route's recent requests above which a family is split by request.
	heavyFamilyPermille = 20
	// familySlots is the number of counters of the sketch of families; a power of two.
	familySlots = 1024
	// familyDecayRequests is the number of requests after which the counters of the sketch are halved.
	familyDecayRequests = 4096
)

// Probes: single requests sent to a version ahead of its share, one at a time on each daemon and route.
const (
	// probingDaemons is the number of daemons that send probes of a move.
	probingDaemons = 3
	firstProbes    = 6
	confirmProbes  = 4
	// probeTimeout frees the place of a probe that has not been answered.
	probeTimeout = 2 * time.Second
)

// Counting.
const (
	// countedOrganisations is the number of organisations of a move and route that are counted one by one.
	countedOrganisations = 24
	// digestRepeats is how often a row is sent again.
	digestRepeats = 2
	// limitsEvery is the number of digests of which one carries the limits of latencies.
	limitsEvery = 5
	// digestRows bounds the rows of one digest.
	digestRows = 96
	// brokenWindow is the time in which breaks of one upstream, seen by several daemons, count as one failure.
	brokenWindow = 500 * time.Millisecond
	// refusedWindow is the time in which refusals of one upstream belong to one break.
	refusedWindow = 2 * time.Second
	// latencyBuckets cover 1 ms to 65 s with four buckets for each doubling.
	latencyBuckets     = 64
	bucketsPerDoubling = 4
	latencyFloor       = time.Millisecond
	// workClasses group requests by the tokens that the engine computes before their first token: the first has fewer
	// than workClassTokens, each further one twice as many.
	workClasses     = 10
	workClassTokens = 1024
	// longestLimitMicros bounds the limits that are taken over from other daemons.
	longestLimitMicros = 600_000_000
	// baselineRoutes bounds the routes whose latencies are kept outside of moves.
	baselineRoutes = 4096
	// ratioUnit is the latency that stands for a ratio of one in a histogram.
	ratioUnit = 100 * time.Millisecond
	// meanSamples is the weight of the past in a mean, meanLeastSamples what a mean needs.
	meanSamples      = 256
	meanLeastSamples = 4
	// limitSamples is the number of samples of the old version below which it sets no limit.
	limitSamples = 20
	// decaySamples is the number of samples after which a latency histogram is halved.
	decaySamples = 512
	// limitQuantile is the quantile of the old version's latencies that a limit starts from, in thousandths.
	limitQuantile = 950
	// pacedTokens is the number of tokens of an answer after which its time between tokens is counted.
	pacedTokens = 5
)

// Judging.
const (
	// failureFloor and slowFloor are the least rates of failed and slow answers that a good version is granted.
	failureFloor = 0.005
	slowFloor    = 0.05
	// baseMargin multiplies the old version's rate.
	baseMargin = 1.25
	// priorSamples is the weight of a wider group's rate in the rate of a narrower one.
	priorSamples = 8
	// controlDecaySamples is the number of samples of the old version after which its counts are halved.
	controlDecaySamples = 4096
	// highestBase is the highest rate of bad answers that a good version is granted.
	highestBase = 0.9
	// organisationAlarm is added to an alarm for the evidence of a single organisation, as there are many of them.
	organisationAlarm = 2
	// soakingControl is the number of recent requests to the old version below which there is no comparison at the
	// same time.
	soakingControl = 1
	// recentPriorSamples is the weight of the long time in the rate of failures at the same time.
	recentPriorSamples = 40
	// recentHalfLife is the half-life of the counts by which the old version is judged at the same time.
	recentHalfLife = 3 * time.Second
	// failureAlarm and slowAlarm are natural logarithms of the evidence at which a version is bad.
	failureAlarm = 20.5
	slowAlarm    = 14
	// cautiousSlowAlarm takes the place of slowAlarm where the comparison is weaker.
	cautiousSlowAlarm = 24
	// warmUp is the time after a step in which caches fill.
	warmUp = 1500 * time.Millisecond
	// coldPermille is the share from which on a step turns so many caches cold that they slow other answers down.
	coldPermille = 250
	// suspicion is the part of an alarm from which a daemon sends probes to confirm or clear it.
	suspicion = 0.2
)

// Owner.
const (
	tickInterval = 100 * time.Millisecond
	writeTimeout = 2 * time.Second
	// leaseTTL is the longest time for which a daemon acts on what it knew.
	leaseTTL = 3 * time.Second
	// baselineTime is the longest time in which the old version is watched before the first step.
	baselineTime = 5 * time.Second
	// baselinePart is the part of the old version's recent answers whose latency must have had a limit.
	baselinePart = 0.7
	// takeoverAfter is how long an owner must be missing before another daemon takes over.
	takeoverAfter = leaseTTL + time.Second
	// exposureGrace is the longest time from a stop to the last request sent to the version.
	exposureGrace = 2 * time.Second
	steerPoll     = 20 * time.Millisecond
	retryInitial  = 200 * time.Millisecond
	retryMax      = 2 * time.Second
	// earlyPart is the part of a step's planned time after which a good verdict ends it, as a divisor.
	earlyPart = 4
	// suspiciousPart multiplies the planned time of a step whose verdict stays open for a suspicion.
	suspiciousPart = 2
	// marginPart is the part of the time to the deadline that is kept free, as a divisor.
	marginPart = 10
)
