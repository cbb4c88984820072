package health

import "time"

const (
	// DefaultPrefillTokensPerSecond is the prefill rate, in tokens per second, of an engine without observations.
	DefaultPrefillTokensPerSecond = 10000
	// DefaultMaxEjectedPermille bounds the share of a model's engines that are ejected at the same time, in thousandths.
	DefaultMaxEjectedPermille = 334
	// EjectionFailureThreshold is the number of consecutive failures after which an upstream is ejected.
	EjectionFailureThreshold = 3
	// BaseEjectionTime is the duration of the first ejection; it doubles with each further one up to MaxEjectionTime.
	BaseEjectionTime = 2 * time.Second
	// MaxEjectionTime bounds the duration of one ejection.
	MaxEjectionTime = 60 * time.Second
	// SlowStartTime is the time over which a restarted or formerly ejected upstream returns to its full share of work.
	SlowStartTime = 3 * time.Second
	// LeavingGrace is the time after which a leaving upstream must not receive new requests any more.
	LeavingGrace = 3 * time.Second
	// ReportStaleAfter is the age above which a load report is not used to estimate the load.
	ReportStaleAfter = 10 * time.Second
)

const (
	// minSlowStartShare is the share of its usual work that an upstream gets at the beginning of a slow start.
	minSlowStartShare = 0.1
	// maxEjectionCount bounds the exponent of the ejection time, so that the shift of BaseEjectionTime can't overflow.
	maxEjectionCount = 16
	// bucketTime is the period that one bucket of the window of sent requests covers.
	bucketTime = 50 * time.Millisecond
	// windowBuckets is the number of buckets in the window.
	windowBuckets = 64
	// prefillRateRiseWeight and prefillRateFallWeight are the EWMA weights of samples above and below the estimated prefill
	// rate.
	prefillRateRiseWeight, prefillRateFallWeight = 0.5, 0.02
	// minPrefillTokensPerSecond is the lower bound of samples of the prefill rate.
	minPrefillTokensPerSecond = 100
	// queueFactorWeight is the EWMA weight of a sample of the queue factor; minQueueFactor and maxQueueFactor bound samples.
	queueFactorWeight              = 0.1
	minQueueFactor, maxQueueFactor = 0.02, 4
	// decodeTimeWeight is the EWMA weight of a sample of the decode time.
	decodeTimeWeight = 0.1
	// maxBatchWait bounds the estimated wait for a slot in the batch.
	maxBatchWait = time.Minute
	// minQueueSampleTokens is the shortest reported queue from which the queue factor is updated.
	minQueueSampleTokens = 1000
	// cacheHitAccuracyWeight is the EWMA weight of a sample of the cache hit accuracy.
	cacheHitAccuracyWeight = 0.1
	// minCacheHitAccuracy is the lower bound of the cache hit accuracy.
	minCacheHitAccuracy = 0.2
)
