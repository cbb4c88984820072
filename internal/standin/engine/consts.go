package engine

import "time"

const (
	tokenBytes   = 4 // a space and three letters
	alphabetSize = 26
	goldenRatio  = 0x9e3779b97f4a7c15 // increment of SplitMix64

	// outputBufferTokens is the number of generated tokens that a reader may lag behind before generation pauses.
	outputBufferTokens = 64
	// maxChunkTokens bounds the tokens in one event of a response stream.
	maxChunkTokens = 16
	// maxScheduleLag bounds how far the schedule of steps may fall behind the clock. Below it, late steps are caught up;
	// beyond it, the schedule restarts from the current time.
	maxScheduleLag = 20 * time.Millisecond

	maxBodyBytes = 16 << 20
)

// Defaults of Settings.
const (
	defaultBlockTokens        = 1000
	defaultCacheBlocks        = 256 // blocks, of all versions and organisations together
	defaultMaxRunning         = 16
	defaultMaxWaiting         = 256
	defaultStepTime           = 20 * time.Millisecond
	defaultStepPerRequest     = 500 * time.Microsecond
	defaultPrefillPerToken    = 20 * time.Microsecond
	defaultImportPerToken     = 2 * time.Microsecond
	defaultPrefillChunkTokens = 2048 // per step, for the whole batch
	defaultReportInterval     = 250 * time.Millisecond
	defaultLoadTime           = 600 * time.Millisecond
)

const (
	finishReasonLength = "length"
	minStepTime        = 10 * time.Microsecond
	// exportQueueLength is the number of exports queued for the KV cache store before further ones are dropped.
	exportQueueLength = 256
	defaultAddress    = "127.0.0.1:0"
)
