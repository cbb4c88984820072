package engine

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the sizes and costs of an engine, in unscaled time. Zero values are defaults.
type Settings struct {
	ID    ident.UpstreamID
	Model ident.ModelID
	// Versions are loaded at the start.
	Versions []ident.VersionID
	// Incarnation is that of the first start; 0 is 1.
	Incarnation ident.Incarnation
	BlockTokens ident.Tokens
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// IdleTTL is how long an unused block stays in the cache; 0 is until its room is needed.
	IdleTTL time.Duration
	// MaxRunning is the size of a full batch, MaxWaiting the length of the queue before it.
	MaxRunning, MaxWaiting int
	// StepTime is the time of a step with an empty batch, StepPerRequest what each request that generates adds.
	StepTime, StepPerRequest time.Duration
	// PrefillPerToken is the cost of computing a missed prompt token, ImportPerToken that of importing one.
	PrefillPerToken, ImportPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that one step computes.
	PrefillChunk ident.Tokens
	// EventLag is the age of cache events and load reports when they are delivered.
	EventLag time.Duration
	// EventGaps is the share of cache events that are lost.
	EventGaps float64
	// ReportInterval is the time between load reports.
	ReportInterval time.Duration
	// LoadTime is the time to load weights if there is no weight store to ask.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with old fencing numbers.
	ChecksFencing bool
	// ChecksIdentity makes the engine refuse orders without its credential.
	ChecksIdentity bool
	// Credential is the bearer token that callers of this engine show; empty is none.
	Credential string
	// ExportBlocks makes the engine export each block that it computes to the KV cache store.
	ExportBlocks bool
	// TimeScale multiplies all durations; 0 is 1.
	TimeScale float64
	// Seed makes faults repeatable.
	Seed uint64
}

func (s *Settings) fill() {
	fill(&s.Incarnation, 1)
	fill(&s.BlockTokens, defaultBlockTokens)
	fill(&s.CacheBlocks, defaultCacheBlocks)
	fill(&s.MaxRunning, defaultMaxRunning)
	fill(&s.MaxWaiting, defaultMaxWaiting)
	fill(&s.StepTime, defaultStep)
	fill(&s.StepPerRequest, defaultStepPerRequest)
	fill(&s.PrefillPerToken, defaultPrefillPerToken)
	fill(&s.ImportPerToken, defaultImportPerToken)
	fill(&s.PrefillChunk, defaultPrefillChunk)
	fill(&s.ReportInterval, defaultReportEvery)
	fill(&s.LoadTime, defaultLoadVersion)
	fill(&s.TimeScale, 1)
}

func (s *Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.TimeScale)
}

func fill[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
