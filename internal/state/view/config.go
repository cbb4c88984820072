// Package view holds what a daemon knows of the configuration and the upstreams of a platform that publishes both
// itself: immutable values, swapped in whole, that never go back to an older version.
package view

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ServiceID names a group of interchangeable upstreams.
type ServiceID string

// RequestKind tells how often a request of a route may run and how its answer is passed on.
type RequestKind uint8

// Kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RequestKind = iota + 1
	// KindAtMostOnce requests run at most once.
	KindAtMostOnce
	// KindStream requests are answered by a stream of events and run at most once, unless the route is resumable.
	KindStream
)

// Share is the part of a route's traffic that a service gets.
type Share struct {
	Service ServiceID
	Weight  float64
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name       ident.RouteID
	Host       string
	PathPrefix string
	Shares     []Share
	Kind       RequestKind
	// Timeout bounds the time until the final answer; 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, that callers expect.
	TargetLatency time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another upstream.
	Resumable bool
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
	// Store is set for a service that keeps KV cache and takes no requests.
	Store *Store
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory of one engine.
	CacheTokens ident.Tokens
	// TokenBytes is the size of a cached token, LinkMbps the speed of the engine's link for cached parts in Mbit/s; 0 if
	// they aren't published.
	TokenBytes float64
	LinkMbps   float64
	Models     []ident.ModelID
}

// FetchTimePerToken returns the time in which a link moves a cached token; 0 if it isn't known.
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
	// LinkMbps is the speed of the store's link in Mbit/s; 0 if it isn't published.
	LinkMbps float64
}

// Organisation is a customer with a limit over all daemons together.
type Organisation struct {
	ID ident.OrganisationID
	// Priority goes before the priority of the route if HasPriority.
	Priority    int
	HasPriority bool
	// Rate and Burst bound what the organisation may use; a rate of 0 is no bound.
	Rate  float64
	Burst float64
	// CountsRequests says that the limit counts requests in place of tokens.
	CountsRequests bool
	// PlainRequestTokens is what a request without a prompt counts.
	PlainRequestTokens ident.Tokens
	// Isolated organisations share no cached prompts with others.
	Isolated bool
	Keys     []ident.Digest
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration. It is not changed once it is published.
type Config struct {
	Version       int64
	Routes        []Route
	Services      map[ServiceID]*Service
	Organisations map[ident.OrganisationID]*Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[ident.Digest]*Organisation
}

// BuildIndex prepares the configuration for look-ups.
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
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that holds the key, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[ident.DigestOf(key)]
}

// RequiresKey reports whether requests need a key.
func (c *Config) RequiresKey() bool { return len(c.Organisations) > 0 }

// CacheStores returns the KV cache stores, ordered by the names of their services.
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
