// Package setup reads and checks the settings of a daemon.
package setup

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings configure one daemon. All durations are in milliseconds, all sizes in bytes.
type Settings struct {
	DaemonID      ident.DaemonID      `json:"daemonId" validate:"required,max=64,id"`
	FailureDomain ident.FailureDomain `json:"failureDomain" validate:"required,max=64,id"`

	// Listen holds the addresses to listen on, Advertise those that others reach the daemon by.
	Listen    Addresses `json:"listen"`
	Advertise Addresses `json:"advertise"`

	LogService  Service `json:"logService"`
	VMList      Service `json:"vmList"`
	WeightStore Service `json:"weightStore"`

	TLS TLS `json:"tls"`
	// SharedToken authenticates daemons to each other without TLS; only allowed on loopback addresses.
	SharedToken string `json:"sharedToken" validate:"omitempty,min=16"`
	// UpstreamCredential is sent to upstreams in place of the caller's key.
	UpstreamCredential string `json:"upstreamCredential"`
	// BootstrapOperator may use the administration API before any operator is configured.
	BootstrapOperator *BootstrapOperator `json:"bootstrapOperator"`

	Policy string `json:"policy" validate:"oneof=prefix leastLoad roundRobin random"`
	Limits Limits `json:"limits"`
	Drain  Drain  `json:"drain"`
	// Moves and Loads limit moves between versions and the loads of weights.
	Moves moves.Settings  `json:"moves"`
	Loads orders.Settings `json:"loads"`
	// Store tells how fast the KV cache store is.
	Store Store `json:"kvStore"`
}

// Addresses are the host:port pairs of the three listeners; hosts are IP numbers.
type Addresses struct {
	Callers string `json:"callers" validate:"required,ipport"`
	Peers   string `json:"peers" validate:"required,ipport"`
	Admin   string `json:"admin" validate:"required,ipport"`
}

// Service is where a service of the platform is reached.
type Service struct {
	// URL is the base URL by IP number.
	URL string `json:"url" validate:"required,ipurl"`
	// TimeoutMs bounds one call.
	TimeoutMs int64 `json:"timeoutMs" validate:"min=10,max=60000"`
}

// Timeout returns the bound of one call.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutMs) * time.Millisecond }

// TLS names the certificates of each listener. A listener without a certificate speaks plain text.
type TLS struct {
	Callers Certificate `json:"callers"`
	// Peers is mutual: both sides show a certificate of the CA.
	Peers Certificate `json:"peers"`
	Admin Certificate `json:"admin"`
}

// Certificate names PEM files, which are read again when they change.
type Certificate struct {
	CertFile string `json:"certFile" validate:"required_with=KeyFile CAFile,omitempty,file"`
	KeyFile  string `json:"keyFile" validate:"required_with=CertFile,omitempty,file"`
	CAFile   string `json:"caFile" validate:"omitempty,file"`
}

// Enabled reports whether the listener uses TLS.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// BootstrapOperator is an operator with all rights, known by the SHA-256 digest of the key in hexadecimal.
type BootstrapOperator struct {
	ID              ident.OperatorID `json:"id" validate:"required,id"`
	KeyDigestSHA256 string           `json:"keyDigestSha256" validate:"required,len=64,hexadecimal"`
}

// Limits bound what one caller can take up.
type Limits struct {
	BodyBytes       int64 `json:"bodyBytes" validate:"min=1024,max=268435456"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"min=100,max=60000"`
	BodyTimeoutMs   int64 `json:"bodyTimeoutMs" validate:"min=100,max=600000"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"min=1000,max=3600000"`
	// RequestTimeoutMs is shorter than the ten minutes for which idempotency keys are remembered.
	RequestTimeoutMs int64 `json:"requestTimeoutMs" validate:"min=1000,max=540000"`
	// WriteTimeoutMs bounds how long one write to a slow reader may take.
	WriteTimeoutMs int64 `json:"writeTimeoutMs" validate:"min=100,max=600000"`
	// AdmitWaitMs is how long a request may wait for its organisation's rate.
	AdmitWaitMs int64 `json:"admitWaitMs" validate:"min=0,max=60000"`
	MaxStreams  int   `json:"maxStreams" validate:"min=1,max=100000"`
}

// Drain tells how a daemon leaves.
type Drain struct {
	// LocateTTLMs is how long callers keep an answer of locate; a leaving daemon serves at least that long.
	LocateTTLMs int64 `json:"locateTtlMs" validate:"min=100,max=600000"`
	// TimeoutMs bounds the wait for running requests.
	TimeoutMs int64 `json:"timeoutMs" validate:"min=1000,max=3600000"`
}

// Store tells the speed of imports from the KV cache store.
type Store struct {
	// ImportTokensPerSecond is the speed of an import; 0 imports nothing.
	ImportTokensPerSecond ident.TokensPerSecond `json:"importTokensPerSecond" validate:"min=0"`
	// ImportLatencyMs passes before an import starts.
	ImportLatencyMs int64 `json:"importLatencyMs" validate:"min=0,max=60000"`
}

// Default returns settings with every value that has a default.
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
		Drain: Drain{LocateTTLMs: 5000, TimeoutMs: 300000},
		Moves: moves.DefaultSettings(),
		Loads: orders.DefaultSettings(),
	}
}
