package engine

import "time"

const (
	tokenBytes  = 4
	letters     = 26
	goldenRatio = 0x9e3779b97f4a7c15

	// outputBuffer is the number of tokens that an answer runs ahead of its reader.
	outputBuffer = 64
	// maxChunkTokens bounds the tokens of one event of a stream.
	maxChunkTokens = 16
	// maxLag bounds how far the schedule of steps may fall behind the clock before it starts anew.
	maxLag = 20 * time.Millisecond

	maxBodyBytes = 16 << 20
)

// Defaults of Settings.
const (
	defaultBlockTokens     = 1000
	defaultCacheBlocks     = 256
	defaultMaxRunning      = 16
	defaultMaxWaiting      = 256
	defaultStep            = 20 * time.Millisecond
	defaultStepPerRequest  = 500 * time.Microsecond
	defaultPrefillPerToken = 20 * time.Microsecond
	defaultImportPerToken  = 2 * time.Microsecond
	defaultPrefillChunk    = 2048 // tokens in one step
	defaultReportEvery     = 250 * time.Millisecond
	defaultLoadVersion     = 600 * time.Millisecond
)

const (
	finishLength = "length"
	minStep      = 10 * time.Microsecond
	// exportQueue is the number of exports that wait for the store before further ones are dropped.
	exportQueue    = 256
	defaultAddress = "127.0.0.1:0"
)
