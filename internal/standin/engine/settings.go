package engine

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the capacity, the speed and the checks of an engine. Durations are unscaled: the engine multiplies them
// by TimeScale. Zero values select the defaults.
type Settings struct {
	ID    ident.UpstreamID
	Model ident.ModelID
	// Versions are the weight versions that are loaded at the start and after a crash.
	Versions []ident.VersionID
	// Incarnation is the incarnation until the first crash; 0 selects 1.
	Incarnation ident.Incarnation
	// BlockTokens is the number of tokens in a block of the prefix cache.
	BlockTokens ident.Tokens
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// IdleTTL is the time after its last use at which a block is evicted; with 0, blocks are evicted only for capacity.
	IdleTTL time.Duration
	// MaxRunning is the maximum batch size in requests, MaxWaiting the maximum length of the queue.
	MaxRunning, MaxWaiting int
	// StepTime is the base duration of a step; each request that generates a token adds StepPerRequest.
	StepTime, StepPerRequest time.Duration
	// PrefillPerToken is the time to compute a prompt token that is not cached, ImportPerToken that to import one.
	PrefillPerToken, ImportPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that one step computes, for the whole batch.
	PrefillChunk ident.Tokens
	// EventLag is the delay between a cache event or load report and its delivery.
	EventLag time.Duration
	// EventGaps is the share of cache events, 0 to 1, that are lost.
	EventGaps float64
	// ReportInterval is the time between load reports.
	ReportInterval time.Duration
	// LoadTime is the time to load weights if Engine.Weights is nil.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing token is older than one that it has seen.
	ChecksFencing bool
	// ChecksIdentity makes the engine refuse orders without its credential.
	ChecksIdentity bool
	// Credential is the bearer token that orders must carry if ChecksIdentity is set.
	Credential string
	// ExportBlocks makes the engine export each block that enters its cache to the KV cache store.
	ExportBlocks bool
	// TimeScale multiplies all durations; 0 selects 1.
	TimeScale float64
	// Seed seeds the random choice of faults and lost events.
	Seed uint64
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Incarnation, 1)
	setDefault(&s.BlockTokens, defaultBlockTokens)
	setDefault(&s.CacheBlocks, defaultCacheBlocks)
	setDefault(&s.MaxRunning, defaultMaxRunning)
	setDefault(&s.MaxWaiting, defaultMaxWaiting)
	setDefault(&s.StepTime, defaultStepTime)
	setDefault(&s.StepPerRequest, defaultStepPerRequest)
	setDefault(&s.PrefillPerToken, defaultPrefillPerToken)
	setDefault(&s.ImportPerToken, defaultImportPerToken)
	setDefault(&s.PrefillChunk, defaultPrefillChunkTokens)
	setDefault(&s.ReportInterval, defaultReportInterval)
	setDefault(&s.LoadTime, defaultLoadTime)
	setDefault(&s.TimeScale, 1)
}

func (s *Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.TimeScale)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
