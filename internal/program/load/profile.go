// Package load measures routing policies: it runs whole systems on loopback, sends them the same seeded arrivals and
// compares what the callers saw. It is no simulator: daemons and stand-ins talk over real sockets.
package load

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Profile describes a deployment and its traffic. Times are engine time: the stand-ins run TimeScale times as long,
// and the figures of a run are given in engine time again.
type Profile struct {
	Name           string                `json:"name" validate:"required"`
	Daemons        int                   `json:"daemons" validate:"min=1,max=16"`
	FailureDomains []ident.FailureDomain `json:"failureDomains" validate:"min=1"`
	Engines        int                   `json:"engines" validate:"min=1,max=64"`
	// TimeScale is the length of a second of engine time in seconds.
	TimeScale float64 `json:"timeScale" validate:"min=0.01,max=1"`
	// BlockTokens is the size of a cache block, CacheBlocks the number that an engine holds.
	BlockTokens ident.Tokens `json:"blockTokens" validate:"min=16"`
	CacheBlocks int          `json:"cacheBlocks" validate:"min=1"`
	// EvictIdleMs is how long an engine keeps an unused block.
	EvictIdleMs int64 `json:"evictIdleMs" validate:"min=0"`
	// LoadVersionMs is the time to load weights, ParallelLoads the loads at once before they slow down.
	LoadVersionMs int64          `json:"loadVersionMs" validate:"min=1"`
	ParallelLoads int            `json:"parallelLoads" validate:"min=1"`
	Traffic       Traffic        `json:"traffic"`
	Organisations []Organisation `json:"organisations" validate:"min=1,dive"`
}

// Traffic describes the arrivals.
type Traffic struct {
	// RequestsPerSecond arrive on average, independent of the answers.
	RequestsPerSecond float64 `json:"requestsPerSecond" validate:"gt=0"`
	// BaseBlocks are shared by an organisation, RegionBlocks by a region of it, PlotBlocks by a plot of the region.
	BaseBlocks   int `json:"baseBlocks" validate:"min=0"`
	RegionBlocks int `json:"regionBlocks" validate:"min=0"`
	PlotBlocks   int `json:"plotBlocks" validate:"min=0"`
	// Regions and Plots are the numbers of regions of an organisation and of plots of a region.
	Regions int `json:"regions" validate:"min=1"`
	Plots   int `json:"plots" validate:"min=1"`
	// ZipfExponent shapes the popularity of regions and plots.
	ZipfExponent float64 `json:"zipfExponent" validate:"gt=1"`
	// ShiftSeconds is the time after which other regions and plots become the popular ones.
	ShiftSeconds float64 `json:"shiftSeconds" validate:"gt=0"`
	// TailTokens are the request's own, OutputTokens those of the answer.
	TailTokens   ident.Tokens `json:"tailTokens" validate:"min=1"`
	OutputTokens ident.Tokens `json:"outputTokens" validate:"min=1"`
}

// Organisation is a sender of traffic.
type Organisation struct {
	ID ident.OrganisationID `json:"id" validate:"required"`
	// Share of the arrivals.
	Share float64 `json:"share" validate:"gt=0,max=1"`
	// RateFactor is the organisation's rate as a multiple of what it sends on average.
	RateFactor float64 `json:"rateFactor" validate:"gt=0"`
	// StormFactor is the factor on its arrivals in the middle third of a run.
	StormFactor float64 `json:"storm" validate:"min=1"`
}

// burstSeconds is the burst of an organisation as a multiple of its rate.
const burstSeconds = 4

// Profiles returns the built-in profiles by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"consortium": consortium(), "spogulis": spogulis()}
}

// consortium has twelve engines in four failure domains and very long shared ledgers.
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
		Organisations: organisations(),
	}
}

// spogulis has eighteen engines in three failure domains and many short quotes.
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
		Organisations: organisations(),
	}
}

// organisations are two large ones and three small ones, of which the last sends four times its rate for a while.
func organisations() []Organisation {
	return []Organisation{
		{ID: "north", Share: 0.40, RateFactor: 2.5, StormFactor: 1},
		{ID: "delta", Share: 0.30, RateFactor: 2.5, StormFactor: 1},
		{ID: "ridge", Share: 0.15, RateFactor: 2.5, StormFactor: 1},
		{ID: "creek", Share: 0.10, RateFactor: 2.5, StormFactor: 1},
		{ID: "storm", Share: 0.05, RateFactor: 1.2, StormFactor: 5},
	}
}

// promptTokens returns the length of a prompt.
func (t *Traffic) promptTokens(block ident.Tokens) ident.Tokens {
	return ident.Tokens(t.BaseBlocks+t.RegionBlocks+t.PlotBlocks)*block + t.TailTokens
}

// rate returns the rate of an organisation in tokens a second of wall time.
func (p *Profile) rate(o Organisation) ident.TokensPerSecond {
	cost := p.Traffic.promptTokens(p.BlockTokens) + p.Traffic.OutputTokens
	perSecond := p.Traffic.RequestsPerSecond * o.Share * float64(cost) / p.TimeScale
	return ident.TokensPerSecond(perSecond * o.RateFactor)
}

// wall returns a span of engine time as wall time.
func (p *Profile) wall(d time.Duration) time.Duration { return time.Duration(float64(d) * p.TimeScale) }
