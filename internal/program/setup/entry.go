package setup

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Entry holds the settings of a daemon on a platform that publishes the configuration and the upstreams itself.
type Entry struct {
	DaemonID      ident.DaemonID      `json:"daemonId" validate:"required,max=64"`
	FailureDomain ident.FailureDomain `json:"failureDomain" validate:"required,max=64"`
	// Regions maps each failure domain to its region. Homes of routes and organisations bind only where it is set.
	Regions map[ident.FailureDomain]ident.Region `json:"regions" validate:"max=1024"`
	Listen  EntryListen                          `json:"listen"`
	// Seeds are the addresses of other daemons to contact first; not all of them need to be up.
	Seeds []string `json:"seeds" validate:"dive,max=64"`
	// Store is the address of the platform store as IP:PORT.
	Store  string      `json:"store" validate:"required,ipport"`
	Limits EntryLimits `json:"limits"`
	// Resources is the capacity of the VM. The daemons with the largest capacity carry the traffic.
	Resources EntryResources `json:"resources"`
}

// EntryResources is the capacity of a VM; 0 means unknown.
type EntryResources struct {
	// CPUShare is the fraction of each core that the daemon may use, from 0 to 1.
	CPUShare float64 `json:"cpuShare" validate:"min=0,max=1"`
	Cores    int     `json:"cores" validate:"min=0,max=1024"`
	// LinkMbps is the bandwidth of the VM's network link in megabits per second.
	LinkMbps float64 `json:"linkMbps" validate:"min=0"`
	// MemoryMB is the memory of a process in megabytes; one that takes more is killed.
	MemoryMB float64 `json:"memoryMb" validate:"min=0"`
	// FileDescriptors is the number of descriptors that a process may have open.
	FileDescriptors int `json:"fileDescriptors" validate:"min=0"`
}

// EntryListen holds the addresses to listen on as IP:PORT. Admin and Metrics may be empty.
type EntryListen struct {
	Callers   string `json:"callers" validate:"required,ipport"`
	Ready     string `json:"ready" validate:"required,ipport"`
	Directory string `json:"directory" validate:"required,ipport"`
	Admin     string `json:"admin" validate:"omitempty,ipport"`
	Peers     string `json:"peers" validate:"required,ipport"`
	Metrics   string `json:"metrics" validate:"omitempty,ipport"`
}

// EntryLimits holds the limits that the platform sets. The end of a name gives the unit of a time: Ms for
// milliseconds, S for seconds.
type EntryLimits struct {
	// GraceS is the time from SIGTERM to SIGKILL.
	GraceS float64 `json:"graceS" validate:"min=0,max=3600"`
	// LeaseMs is how long another daemon must wait with its orders after an order of one daemon. It only applies if
	// Fenced is not set.
	LeaseMs int64 `json:"leaseMs" validate:"min=0,max=600000"`
	// Fenced is set if engines reject orders whose term is lower than one that they have seen.
	Fenced bool `json:"fenced"`
	// WeightsMs is the time after the announcement of a weight version from which no request may start on an older
	// version; 0 for no such limit.
	WeightsMs int64 `json:"weightsMs" validate:"min=0,max=600000"`
	// All daemons together may send RetryShare retries per request and RetrySlack further ones within RetryWindowS.
	RetryShare   float64 `json:"retryShare" validate:"min=0,max=10"`
	RetrySlack   float64 `json:"retrySlack" validate:"min=0"`
	RetryWindowS float64 `json:"retryWindowS" validate:"min=0"`
	// DirectoryTTLS is the longest time for which callers cache a response of the directory.
	DirectoryTTLS float64 `json:"directoryTtlS" validate:"min=0,max=600"`
	// EvacuationMs is the time after an evacuation's acknowledgement from which nothing may reach the failure domain's upstreams; 0
	// where operators can't evacuate.
	EvacuationMs int64 `json:"evacuationMs" validate:"min=0,max=600000"`
	// All daemons together may send a cold upstream its published rate times ColdOverage, and ColdSlack requests more, within a
	// second. Both 0 mean no such bound.
	ColdOverage float64 `json:"coldOverage" validate:"min=0,max=1000"`
	ColdSlack   float64 `json:"coldSlack" validate:"min=0"`
}
