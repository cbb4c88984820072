package health

import "time"

const (
	// DefaultPrefillRate in tokens a second is assumed of an engine that has not been measured.
	DefaultPrefillRate = 10000
	// DefaultMaxEjectedPermille bounds the ejected part of a model's engines, in thousandths.
	DefaultMaxEjectedPermille = 334
	// EjectionFailureThreshold is the number of consecutive failures that ejects an engine.
	EjectionFailureThreshold = 3
	// BaseEjectionTime is how long an engine is ejected the first time; it doubles with each ejection up to EjectTimeMax.
	BaseEjectionTime = 2 * time.Second
	// MaxEjectionTime bounds the time of one ejection.
	MaxEjectionTime = 60 * time.Second
	// SlowStartTime is the time over which an engine that came back gets to its full share of work.
	SlowStartTime = 3 * time.Second
	// LeavingGrace is the time within which an upstream that is leaving must get no new work any more.
	LeavingGrace = 3 * time.Second
	// ReportStaleAfter is the age from which a load report says nothing on the load any more.
	ReportStaleAfter = 10 * time.Second
)

const (
	// slowStartFloor is the share of work at the start of a slow start.
	slowStartFloor = 0.1
	// maxEjections bounds the count of ejections, which doubles the time of the next.
	maxEjections = 16
	// sliceTime is the length of a slice of the recent past in which own requests are counted.
	sliceTime = 50 * time.Millisecond
	// windowSlices is the number of slices kept.
	windowSlices = 64
	// rateRise and rateFall weigh a sample above and below the learned prefill rate.
	rateRise, rateFall = 0.5, 0.02
	// rateFloor in tokens a second bounds the learned prefill rate from below.
	rateFloor = 100
	// queueWeight weighs a sample of the queue factor, queueFactorMin and queueFactorMax bound it.
	queueWeight                    = 0.1
	queueFactorMin, queueFactorMax = 0.02, 4
	// batchWeight weighs a sample of the time of an answer in the batch.
	batchWeight = 0.1
	// batchWaitMax bounds the estimated wait for room in a batch.
	batchWaitMax = time.Minute
	// queueSampleTokens is the shortest queue from which the factor is learned.
	queueSampleTokens = 1000
	// trustWeight weighs a sample of the part of expected blocks that an engine really held.
	trustWeight = 0.1
	// trustFloor bounds the learned trust from below.
	trustFloor = 0.2
)
