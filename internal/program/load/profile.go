// Package load is a load test that compares routing policies. For each policy it starts daemons with stand-ins for the
// engines and the log service on loopback, sends the same seeded trace of requests and measures what the callers see. It
// is no simulation: daemons and stand-ins communicate over real sockets.
package load

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Profile describes a deployment and its traffic. Times are engine time: in wall time the stand-ins take TimeScale times
// as long. Results are converted back to engine time.
type Profile struct {
	Name           string                `json:"name" validate:"required"`
	Daemons        int                   `json:"daemons" validate:"min=1,max=16"`
	FailureDomains []ident.FailureDomain `json:"failureDomains" validate:"min=1"`
	Engines        int                   `json:"engines" validate:"min=1,max=64"`
	// TimeScale is the wall time of a second of engine time, in seconds.
	TimeScale float64 `json:"timeScale" validate:"min=0.01,max=1"`
	// BlockTokens is the size of a cache block, CacheBlocks the number of blocks in an engine's cache.
	BlockTokens ident.Tokens `json:"blockTokens" validate:"min=16"`
	CacheBlocks int          `json:"cacheBlocks" validate:"min=1"`
	// EvictIdleMs is the time after which an engine evicts an unused block.
	EvictIdleMs int64 `json:"evictIdleMs" validate:"min=0"`
	// LoadVersionMs is the time to load weights, ParallelLoads the largest number of concurrent loads.
	LoadVersionMs int64          `json:"loadVersionMs" validate:"min=1"`
	ParallelLoads int            `json:"parallelLoads" validate:"min=1"`
	Traffic       Traffic        `json:"traffic"`
	Organisations []Organisation `json:"organisations" validate:"min=1,dive"`
}

// Traffic describes the arrivals.
type Traffic struct {
	// RequestsPerSecond is the average arrival rate, which does not depend on the responses (open loop).
	RequestsPerSecond float64 `json:"requestsPerSecond" validate:"gt=0"`
	// BaseBlocks, RegionBlocks and PlotBlocks are the numbers of prompt blocks that the requests of an organisation, of one
	// of its regions and of one plot of the region share.
	BaseBlocks   int `json:"baseBlocks" validate:"min=0"`
	RegionBlocks int `json:"regionBlocks" validate:"min=0"`
	PlotBlocks   int `json:"plotBlocks" validate:"min=0"`
	// Regions and Plots are the numbers of regions of an organisation and of plots of a region.
	Regions int `json:"regions" validate:"min=1"`
	Plots   int `json:"plots" validate:"min=1"`
	// ZipfExponent is the exponent of the Zipf distribution of regions and plots.
	ZipfExponent float64 `json:"zipfExponent" validate:"gt=1"`
	// ShiftSeconds is the interval, in engine time, at which other regions and plots become the popular ones.
	ShiftSeconds float64 `json:"shiftSeconds" validate:"gt=0"`
	// TailTokens is the length of the part of a prompt that no other request has, OutputTokens that of the response.
	TailTokens   ident.Tokens `json:"tailTokens" validate:"min=1"`
	OutputTokens ident.Tokens `json:"outputTokens" validate:"min=1"`
}

// Organisation describes the traffic and the rate limit of an organisation.
type Organisation struct {
	ID ident.OrganisationID `json:"id" validate:"required"`
	// Share is the organisation's share of the arrivals.
	Share float64 `json:"share" validate:"gt=0,max=1"`
	// RateFactor is the organisation's rate limit as a multiple of its average traffic.
	RateFactor float64 `json:"rateFactor" validate:"gt=0"`
	// StormFactor multiplies the organisation's arrival rate in the middle third of a run.
	StormFactor float64 `json:"storm" validate:"min=1"`
}

// burstSeconds is the burst of an organisation in seconds of its rate.
const burstSeconds = 4

// Profiles returns the built-in profiles by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"consortium": consortium(), "spogulis": spogulis()}
}

// consortium has twelve engines in four failure domains and long shared prefixes of 14 blocks.
func consortium() Profile {
	return Profile{
		Name:           "consortium",
		Daemons:        7,
		FailureDomains: []ident.FailureDomain{"bengal-1", "bengal-2", "bengal-3", "bengal-4"},
		Engines:        12,
		TimeScale:      0.25,
		BlockTokens:    1000,
		CacheBlocks:    72,
		EvictIdleMs:    8000,
		LoadVersionMs:  600,
		ParallelLoads:  2,
		Traffic: Traffic{
			RequestsPerSecond: 50,
			BaseBlocks:        2,
			RegionBlocks:      4,
			PlotBlocks:        8,
			Regions:           3,
			Plots:             5,
			ZipfExponent:      1.3,
			ShiftSeconds:      20,
			TailTokens:        300,
			OutputTokens:      40,
		},
		Organisations: builtInOrganisations(),
	}
}

// spogulis has eighteen engines in three failure domains, more requests and shorter shared prefixes of 10 blocks.
func spogulis() Profile {
	return Profile{
		Name:           "spogulis",
		Daemons:        6,
		FailureDomains: []ident.FailureDomain{"riga-1", "riga-2", "riga-3"},
		Engines:        18,
		TimeScale:      0.25,
		BlockTokens:    1000,
		CacheBlocks:    48,
		EvictIdleMs:    6000,
		LoadVersionMs:  300,
		ParallelLoads:  3,
		Traffic: Traffic{
			RequestsPerSecond: 90,
			BaseBlocks:        3,
			RegionBlocks:      3,
			PlotBlocks:        4,
			Regions:           5,
			Plots:             6,
			ZipfExponent:      1.2,
			ShiftSeconds:      15,
			TailTokens:        200,
			OutputTokens:      40,
		},
		Organisations: builtInOrganisations(),
	}
}

// builtInOrganisations returns two large organisations and three small ones. The last one sends about four times its rate
// limit in the middle third of a run.
func builtInOrganisations() []Organisation {
	return []Organisation{
		{ID: "north", Share: 0.40, RateFactor: 2.5, StormFactor: 1},
		{ID: "delta", Share: 0.30, RateFactor: 2.5, StormFactor: 1},
		{ID: "ridge", Share: 0.15, RateFactor: 2.5, StormFactor: 1},
		{ID: "creek", Share: 0.10, RateFactor: 2.5, StormFactor: 1},
		{ID: "storm", Share: 0.05, RateFactor: 1.2, StormFactor: 5},
	}
}

// promptTokens returns the length of a prompt in tokens, for the given size of a block.
func (t *Traffic) promptTokens(block ident.Tokens) ident.Tokens {
	return ident.Tokens(t.BaseBlocks+t.RegionBlocks+t.PlotBlocks)*block + t.TailTokens
}

// tokenRate returns the rate limit of an organisation in tokens per second of wall time.
func (p *Profile) tokenRate(o Organisation) ident.TokensPerSecond {
	cost := p.Traffic.promptTokens(p.BlockTokens) + p.Traffic.OutputTokens
	perSecond := p.Traffic.RequestsPerSecond * o.Share * float64(cost) / p.TimeScale
	return ident.TokensPerSecond(perSecond * o.RateFactor)
}

// wallTime converts a duration from engine time to wall time.
func (p *Profile) wallTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.TimeScale)
}
