package plain

import "github.com/gooseberryway/gooseberryway/internal/standin/httpd"

// Config is the settings file of a plain service that runs as a separate process.
type Config struct {
	Listen string `json:"listen" validate:"required,ipport"`
	Faults Faults `json:"faults"`
	Seed   uint64 `json:"seed"`
}

// Process returns a plain service with these settings; it is not started.
func (c *Config) Process() httpd.Process {
	s := &Service{Base: httpd.Base{Address: c.Listen}, Seed: c.Seed}
	s.SetFaults(c.Faults)
	return s
}
