package setup

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Entry configures a daemon on a platform that publishes configuration and upstreams itself.
type Entry struct {
	DaemonID      ident.DaemonID      `json:"daemonId" validate:"required,max=64"`
	FailureDomain ident.FailureDomain `json:"failureDomain" validate:"required,max=64"`
	Listen        EntryListen         `json:"listen"`
	// Seeds are the IP numbers of other daemons that may be up.
	Seeds []string `json:"seeds" validate:"dive,max=64"`
	// Store is the IP:PORT of the platform's store.
	Store  string      `json:"store" validate:"required,ipport"`
	Limits EntryLimits `json:"limits"`
	// Resources are what the VM has; the daemons with most of it carry the traffic.
	Resources EntryResources `json:"resources"`
}

// EntryResources are what a VM has; 0 for what is not known.
type EntryResources struct {
	// CPUShare is the part of each core that the daemon may use.
	CPUShare float64 `json:"cpuShare" validate:"min=0,max=1"`
	Cores    int     `json:"cores" validate:"min=0,max=1024"`
	// LinkMbps is the bandwidth of the VM's link in megabits a second.
	LinkMbps float64 `json:"linkMbps" validate:"min=0"`
}

// EntryListen holds the addresses to listen on, as IP:PORT.
type EntryListen struct {
	Callers   string `json:"callers" validate:"required,ipport"`
	Ready     string `json:"ready" validate:"required,ipport"`
	Directory string `json:"directory" validate:"required,ipport"`
	Admin     string `json:"admin" validate:"omitempty,ipport"`
	Peers     string `json:"peers" validate:"required,ipport"`
	Metrics   string `json:"metrics" validate:"omitempty,ipport"`
}

// EntryLimits are bounds that the platform states; all times in milliseconds but where the name says otherwise.
type EntryLimits struct {
	// GraceS is the time in seconds from SIGTERM to SIGKILL.
	GraceS float64 `json:"graceS" validate:"min=0,max=3600"`
	// LeaseMs is how long orders of one daemon bar those of another.
	LeaseMs int64 `json:"leaseMs" validate:"min=0,max=600000"`
	// Fenced says that engines refuse orders with a lower term than they have seen.
	Fenced bool `json:"fenced"`
	// WeightsMs is the age of a named version from which no request may start on an older one; 0 for none.
	WeightsMs int64 `json:"weightsMs" validate:"min=0,max=600000"`
	// RetryShare is the retries for each request, RetrySlack those beyond in RetryWindowS seconds, over all daemons.
	RetryShare   float64 `json:"retryShare" validate:"min=0,max=10"`
	RetrySlack   float64 `json:"retrySlack" validate:"min=0"`
	RetryWindowS float64 `json:"retryWindowS" validate:"min=0"`
	// DirectoryTTLS bounds in seconds how long callers keep an answer of the directory.
	DirectoryTTLS float64 `json:"directoryTtlS" validate:"min=0,max=600"`
}
