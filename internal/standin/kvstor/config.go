package kvstor

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
)

// Config is the settings file of a stand-in KV cache store that runs as its own process. Zero values select the defaults
// of Store.
type Config struct {
	Listen     string  `json:"listen" validate:"required,ipport"`
	Blocks     int     `json:"blocks" validate:"min=0,max=100000000"`
	EventLagMs int64   `json:"eventLagMs" validate:"min=0,max=600000"`
	EventGaps  float64 `json:"eventGaps" validate:"min=0,max=1"`
}

// Process returns the KV cache store that the settings describe, not started yet.
func (c *Config) Process() httpd.Process {
	return &Store{
		Base:      httpd.Base{Address: c.Listen},
		Blocks:    c.Blocks,
		EventLag:  time.Duration(c.EventLagMs) * time.Millisecond,
		EventGaps: c.EventGaps,
	}
}
