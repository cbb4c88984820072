package wstore

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Config is the settings file of a weight store that runs as a separate process. Zero numbers stand for the defaults of
// Store.
type Config struct {
	Listen     string                             `json:"listen" validate:"required,ipport"`
	Weights    map[ident.VersionID]extern.Weights `json:"weights"`
	LoadTimeMs int64                              `json:"loadTimeMs" validate:"min=0,max=3600000"`
	Parallel   int                                `json:"parallel" validate:"min=0,max=1024"`
	TimeScale  float64                            `json:"timeScale" validate:"min=0,max=1000"`
}

// Process returns a weight store with these settings; it is not started.
func (c *Config) Process() httpd.Process {
	return &Store{
		Base:          httpd.Base{Address: c.Listen},
		Weights:       c.Weights,
		LoadTime:      time.Duration(c.LoadTimeMs) * time.Millisecond,
		ParallelLoads: c.Parallel,
		TimeScale:     c.TimeScale,
	}
}
