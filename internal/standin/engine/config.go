package engine

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/standin/kvstor"
	"github.com/gooseberryway/gooseberryway/internal/standin/wstore"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Config is the settings file of a stand-in engine that runs as its own process. Zero values select the defaults of
// Settings. Times have the unit that the field name ends with (Ms, Us, Ns) and are multiplied by TimeScale.
type Config struct {
	Listen   string            `json:"listen" validate:"required,ipport"`
	ID       ident.UpstreamID  `json:"id" validate:"required,max=64,id"`
	Model    ident.ModelID     `json:"model" validate:"required,max=64"`
	Versions []ident.VersionID `json:"versions" validate:"min=1"`

	BlockTokens       ident.Tokens `json:"blockTokens" validate:"min=0,max=65536"`
	CacheBlocks       int          `json:"cacheBlocks" validate:"min=0,max=10000000"`
	EvictIdleMs       int64        `json:"evictIdleMs" validate:"min=0,max=3600000"`
	MaxRunning        int          `json:"maxRunning" validate:"min=0,max=4096"`
	MaxWaiting        int          `json:"maxWaiting" validate:"min=0,max=65536"`
	StepUs            int64        `json:"stepUs" validate:"min=0,max=10000000"`
	StepPerRequestUs  int64        `json:"stepPerRequestUs" validate:"min=0,max=10000000"`
	PrefillPerTokenNs int64        `json:"prefillPerTokenNs" validate:"min=0,max=100000000"`
	ImportPerTokenNs  int64        `json:"importPerTokenNs" validate:"min=0,max=100000000"`
	PrefillChunk      ident.Tokens `json:"prefillChunkTokens" validate:"min=0,max=1000000"`
	EventLagMs        int64        `json:"eventLagMs" validate:"min=0,max=600000"`
	EventGaps         float64      `json:"eventGaps" validate:"min=0,max=1"`
	ReportEveryMs     int64        `json:"reportEveryMs" validate:"min=0,max=600000"`
	LoadVersionMs     int64        `json:"loadVersionMs" validate:"min=0,max=3600000"`
	ChecksFencing     bool         `json:"checksFencing"`
	ChecksIdentity    bool         `json:"checksIdentity"`
	Credential        string       `json:"credential"`
	ExportBlocks      bool         `json:"exportBlocks"`
	TimeScale         float64      `json:"timeScale" validate:"min=0,max=1000"`
	Seed              uint64       `json:"seed"`
	// KVStore and WeightStore are base URLs. Without KVStore the engine imports and exports no blocks; without
	// WeightStore loading a version takes LoadVersionMs.
	KVStore     string `json:"kvStore" validate:"omitempty,ipurl"`
	WeightStore string `json:"weightStore" validate:"omitempty,ipurl"`
}

// Process returns the engine that the settings describe, not started yet.
func (c *Config) Process() httpd.Process {
	e := &Engine{Address: c.Listen, Settings: c.settings()}
	if c.KVStore != "" {
		e.Store = &kvstor.Remote{BaseURL: c.KVStore}
	}
	if c.WeightStore != "" {
		e.Weights = &wstore.Remote{BaseURL: c.WeightStore}
	}
	return e
}

func (c *Config) settings() Settings {
	return Settings{
		ID:              c.ID,
		Model:           c.Model,
		Versions:        c.Versions,
		BlockTokens:     c.BlockTokens,
		CacheBlocks:     c.CacheBlocks,
		IdleTTL:         time.Duration(c.EvictIdleMs) * time.Millisecond,
		MaxRunning:      c.MaxRunning,
		MaxWaiting:      c.MaxWaiting,
		StepTime:        time.Duration(c.StepUs) * time.Microsecond,
		StepPerRequest:  time.Duration(c.StepPerRequestUs) * time.Microsecond,
		PrefillPerToken: time.Duration(c.PrefillPerTokenNs),
		ImportPerToken:  time.Duration(c.ImportPerTokenNs),
		PrefillChunk:    c.PrefillChunk,
		EventLag:        time.Duration(c.EventLagMs) * time.Millisecond,
		EventGaps:       c.EventGaps,
		ReportInterval:  time.Duration(c.ReportEveryMs) * time.Millisecond,
		LoadTime:        time.Duration(c.LoadVersionMs) * time.Millisecond,
		ChecksFencing:   c.ChecksFencing,
		ChecksIdentity:  c.ChecksIdentity,
		Credential:      c.Credential,
		ExportBlocks:    c.ExportBlocks,
		TimeScale:       c.TimeScale,
		Seed:            c.Seed,
	}
}
