// Package view holds a daemon's snapshots of the configuration, the upstreams, the weight versions and the rollouts that
// the platform store publishes. Snapshots are immutable and are replaced as a whole, the configuration, weight versions
// and rollouts only by newer ones.
package view

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ServiceID identifies a group of interchangeable upstreams.
type ServiceID string

// RequestKind says how often a request of a route may run and whether its response is streamed.
type RequestKind uint8

// Request kinds.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota + 1
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce
	// KindStream requests are answered by a stream of events. They run at most once unless the route is resumable.
	KindStream
)

// Share is the portion of a route's traffic that a service receives, in proportion to its weight.
type Share struct {
	Service ServiceID
	Weight  float64
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name       ident.RouteID
	Host       string
	PathPrefix string
	Shares     []Share
	Kind       RequestKind
	// Timeout bounds the time until the complete response; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the expected time to the response, or to the first event of a stream.
	TargetLatency time.Duration
	// MaxAttempts bounds the number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// AllowsAnonymous routes accept requests without a key.
	AllowsAnonymous bool
	// Resumable streams may continue at another upstream after a failure.
	Resumable bool
	// Homes are the regions whose upstreams may run the route's requests; empty for all.
	Homes []ident.Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a group of interchangeable upstreams.
type Service struct {
	ID         ServiceID
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all daemons together.
	MaxConnections int
	// Engine is set for services that run models.
	Engine *Engine
	// Store is set for a KV cache store, which receives no requests.
	Store *Store
	// ColdStart is how long an upstream is cold after its start, ColdRate the requests a second that a cold one bears from all
	// daemons together. A ColdRate of 0 means that coldness sets no bound.
	ColdStart time.Duration
	ColdRate  ident.RequestsPerSecond
}

// Engine describes the engines of a service. All of them have the same properties.
type Engine struct {
	// Slots is the number of requests that an engine runs in one batch.
	Slots int
	// CacheTokens is the KV cache capacity of one engine.
	CacheTokens ident.Tokens
	// TokenBytes is the size in bytes of a token in the KV cache, LinkMbps the bandwidth in Mbit/s of the link over which
	// the engine fetches cached parts. Each is 0 if the platform doesn't publish it.
	TokenBytes float64
	LinkMbps   float64
	Models     []ident.ModelID
}

// FetchTimePerToken returns the time in which a link of linkMbps Mbit/s transfers a cached token; 0 if it isn't known.
func (e *Engine) FetchTimePerToken(linkMbps float64) time.Duration {
	if linkMbps <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(e.TokenBytes * bitsPerByte / (linkMbps * bitsPerMbit) * float64(time.Second))
}

// Store describes a KV cache store.
type Store struct {
	Address       string
	FailureDomain ident.FailureDomain
	CacheTokens   ident.Tokens
	// LinkMbps is the bandwidth of the store's link in Mbit/s; 0 if the platform doesn't publish it.
	LinkMbps float64
}

// Organisation is a customer. Its rate limit applies to all daemons together.
type Organisation struct {
	ID ident.OrganisationID
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate (per second) and Burst bound the organisation's usage in tokens, or in requests if CountsRequests is set; a
	// rate of 0 means no bound.
	Rate  float64
	Burst float64
	// CountsRequests says that the limit counts requests instead of tokens.
	CountsRequests bool
	// PlainRequestTokens is the number of tokens charged for a request without a prompt.
	PlainRequestTokens ident.Tokens
	// Isolated organisations share no cached prompt prefixes with other organisations.
	Isolated bool
	// Homes are the regions whose upstreams may run the organisation's requests; empty for all. Those of the route bind as well.
	Homes []ident.Region
	Keys  []ident.Digest
}

// Limits bound the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration. It must not be changed once it is published.
type Config struct {
	Version       int64
	Routes        []Route
	Services      map[ServiceID]*Service
	Organisations map[ident.OrganisationID]*Organisation
	// ListsOrganisations says that the operators list organisations, if only none: without a list requests need no key.
	ListsOrganisations bool
	Limits             Limits

	byHost map[string][]*Route
	byKey  map[ident.Digest]*Organisation
	// sharedScope is the cache scope of the organisations that aren't isolated.
	sharedScope CacheScope
	hasHomes    bool
}

// BuildIndex builds what Route, OrganisationByKey, CacheScope and HasHomes use.
func (c *Config) BuildIndex() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.byKey = map[ident.Digest]*Organisation{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
	c.sharedScope = sharedScope(c.Organisations)
	c.hasHomes = c.listsHomes()
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that the key belongs to, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[ident.DigestOf(key)]
}

// RequiresKey reports whether requests need a key.
func (c *Config) RequiresKey() bool { return c.ListsOrganisations || len(c.Organisations) > 0 }

// CacheStores returns the KV cache stores, ordered by the ids of their services.
func (c *Config) CacheStores() []*Store {
	var services []*Service
	for _, s := range c.Services {
		if s.Store != nil {
			services = append(services, s)
		}
	}
	slices.SortFunc(services, func(a, b *Service) int { return strings.Compare(string(a.ID), string(b.ID)) })
	stores := make([]*Store, 0, len(services))
	for _, s := range services {
		stores = append(stores, s.Store)
	}
	return stores
}
