package vmlist

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// Config is the settings file of a VM list that runs as a separate process.
type Config struct {
	Listen string      `json:"listen" validate:"required,ipport"`
	LagMs  int64       `json:"lagMs" validate:"min=0,max=3600000"`
	VMs    []extern.VM `json:"vms"`
}

// Process returns a VM list with these settings; it is not started.
func (c *Config) Process() httpd.Process {
	l := &List{Base: httpd.Base{Address: c.Listen}, Lag: time.Duration(c.LagMs) * time.Millisecond}
	l.Set(c.VMs)
	return l
}
