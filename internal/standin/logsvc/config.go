package logsvc

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
)

// Config is the settings file of a log service that runs as a separate process. Zero numbers stand for the defaults
// of Service.
type Config struct {
	Listen           string `json:"listen" validate:"required,ipport"`
	AppendsPerSecond int    `json:"appendsPerSecond" validate:"min=0,max=1000000"`
	MaxAgeMs         int64  `json:"maxAgeMs" validate:"min=0"`
	MaxRecords       int    `json:"maxRecords" validate:"min=0"`
	Seed             uint64 `json:"seed"`
}

// Process returns a log service with these settings; it is not started.
func (c *Config) Process() httpd.Process {
	return &Service{
		Address:          c.Listen,
		AppendsPerSecond: c.AppendsPerSecond,
		MaxAge:           time.Duration(c.MaxAgeMs) * time.Millisecond,
		MaxRecords:       c.MaxRecords,
		Seed:             c.Seed,
	}
}
