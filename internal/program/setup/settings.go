// Package setup decodes and validates settings files in JSON: those of daemons and, through LoadInto, those of the
// stand-ins. It reports every problem of a file at once, with the path of the setting.
package setup

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings holds the settings of one daemon. All durations are in milliseconds, all sizes in bytes.
type Settings struct {
	DaemonID      ident.DaemonID      `json:"daemonId" validate:"required,max=64,id"`
	FailureDomain ident.FailureDomain `json:"failureDomain" validate:"required,max=64,id"`

	// Listen holds the addresses to listen on, Advertise the addresses at which others reach the daemon.
	Listen    Addresses `json:"listen"`
	Advertise Addresses `json:"advertise"`

	LogService  Service `json:"logService"`
	VMList      Service `json:"vmList"`
	WeightStore Service `json:"weightStore"`

	TLS TLS `json:"tls"`
	// SharedToken authenticates daemons to each other without TLS. It is only allowed on loopback addresses.
	SharedToken string `json:"sharedToken" validate:"omitempty,min=16"`
	// UpstreamCredential is sent to upstreams in place of the caller's key.
	UpstreamCredential string `json:"upstreamCredential"`
	// BootstrapOperator may use the administration API before any operator is configured.
	BootstrapOperator *BootstrapOperator `json:"bootstrapOperator"`

	Policy string `json:"policy" validate:"oneof=prefix leastLoad roundRobin random"`
	Limits Limits `json:"limits"`
	// Resources are those of a process.
	Resources Resources `json:"resources"`
	Drain     Drain     `json:"drain"`
	// Moves limits moves between versions, Loads the loading of weights.
	Moves moves.Settings  `json:"moves"`
	Loads orders.Settings `json:"loads"`
	// Store is the speed of the KV cache store.
	Store Store `json:"kvStore"`
}

// Addresses holds the addresses of the three listeners as IP:PORT.
type Addresses struct {
	Callers string `json:"callers" validate:"required,ipport"`
	Peers   string `json:"peers" validate:"required,ipport"`
	Admin   string `json:"admin" validate:"required,ipport"`
}

// Service is the endpoint of a service of the platform.
type Service struct {
	// URL is the base URL, whose host is an IP address.
	URL string `json:"url" validate:"required,ipurl"`
	// TimeoutMs is the timeout of one call.
	TimeoutMs int64 `json:"timeoutMs" validate:"min=10,max=60000"`
}

// Timeout returns the timeout of one call.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutMs) * time.Millisecond }

// TLS holds the certificates of each listener. A listener without a certificate does not use TLS.
type TLS struct {
	Callers Certificate `json:"callers"`
	// Peers is used for mutual TLS: both sides present a certificate signed by the CA.
	Peers Certificate `json:"peers"`
	Admin Certificate `json:"admin"`
}

// Certificate holds the paths of PEM files. The files are reloaded when they change.
type Certificate struct {
	CertFile string `json:"certFile" validate:"required_with=KeyFile CAFile,omitempty,file"`
	KeyFile  string `json:"keyFile" validate:"required_with=CertFile,omitempty,file"`
	CAFile   string `json:"caFile" validate:"omitempty,file"`
}

// Enabled reports whether the listener uses TLS.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// BootstrapOperator is an operator with all rights, identified by the hexadecimal SHA-256 digest of the key.
type BootstrapOperator struct {
	ID              ident.OperatorID `json:"id" validate:"required,id"`
	KeyDigestSHA256 string           `json:"keyDigestSha256" validate:"required,len=64,hexadecimal"`
}

// Limits bounds the resources that callers can use: sizes, times and open streams.
type Limits struct {
	BodyBytes       int64 `json:"bodyBytes" validate:"min=1024,max=268435456"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"min=100,max=60000"`
	BodyTimeoutMs   int64 `json:"bodyTimeoutMs" validate:"min=100,max=600000"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"min=1000,max=3600000"`
	// RequestTimeoutMs must be shorter than the ten minutes for which idempotency keys are remembered, so its maximum
	// is nine minutes.
	RequestTimeoutMs int64 `json:"requestTimeoutMs" validate:"min=1000,max=540000"`
	// WriteTimeoutMs is the timeout of one write to a caller that reads slowly.
	WriteTimeoutMs int64 `json:"writeTimeoutMs" validate:"min=100,max=600000"`
	// AdmitWaitMs is how long a request may wait until the rate limit of its organisation admits it.
	AdmitWaitMs int64 `json:"admitWaitMs" validate:"min=0,max=60000"`
	MaxStreams  int   `json:"maxStreams" validate:"min=1,max=100000"`
}

// Resources are the limits of the system on a process.
type Resources struct {
	// MemoryMB is the memory in megabytes; 0 means that it isn't known, so that what is held for clients is bounded for each use alone.
	MemoryMB float64 `json:"memoryMb" validate:"min=0,max=1048576"`
	// FileDescriptors is the number of descriptors that may be open; 0 means that it isn't known.
	FileDescriptors int `json:"fileDescriptors" validate:"min=0"`
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// LocateTTLMs is how long callers may cache a locate response. A leaving daemon that has callers serves for this
	// time before it refuses new requests.
	LocateTTLMs int64 `json:"locateTtlMs" validate:"min=100,max=600000"`
	// TimeoutMs is how long a draining daemon waits for running requests.
	TimeoutMs int64 `json:"timeoutMs" validate:"min=1000,max=3600000"`
}

// Store holds the speed of imports from the KV cache store.
type Store struct {
	// ImportTokensPerSecond is the throughput of an import; 0 disables imports.
	ImportTokensPerSecond ident.TokensPerSecond `json:"importTokensPerSecond" validate:"min=0"`
	// ImportLatencyMs is the delay before an import starts.
	ImportLatencyMs int64 `json:"importLatencyMs" validate:"min=0,max=60000"`
}

// defaultMemoryMB is the memory of the smallest supported VM in megabytes.
const defaultMemoryMB = 112

// Default returns settings in which every value with a default is set.
func Default() Settings {
	service := Service{TimeoutMs: 2000}
	return Settings{
		LogService:  service,
		VMList:      service,
		WeightStore: service,
		Policy:      "prefix",
		Limits: Limits{
			BodyBytes:        8 << 20,
			HeaderTimeoutMs:  5000,
			BodyTimeoutMs:    30000,
			IdleTimeoutMs:    120000,
			RequestTimeoutMs: 300000,
			WriteTimeoutMs:   30000,
			AdmitWaitMs:      2000,
			MaxStreams:       4000,
		},
		Resources: Resources{MemoryMB: defaultMemoryMB},
		Drain:     Drain{LocateTTLMs: 5000, TimeoutMs: 300000},
		Moves:     moves.DefaultSettings(),
		Loads:     orders.DefaultSettings(),
	}
}
