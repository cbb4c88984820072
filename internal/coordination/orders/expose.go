package orders

import (
	"fmt"
	"net"
	"net/url"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ExposedError means that callers of a plain route could reach an upstream that accepts orders from anyone.
type ExposedError struct {
	Route    ident.RouteID
	Upstream ident.UpstreamID
	Engine   ident.UpstreamID
}

func (e *ExposedError) Error() string {
	return fmt.Sprintf("route %s: upstream %s is reached at the address of engine %s, which must not be open to callers",
		e.Route, e.Upstream, e.Engine)
}

// CheckRoute returns an *ExposedError if a plain route leads to the address of an engine or KV cache store. Call it
// before a route or an upstream is written, with the state as it would be afterwards.
func CheckRoute(state *config.State, route *config.Route) error {
	for _, id := range route.Upstreams {
		up, ok := state.Upstream(id)
		if !ok {
			continue
		}
		if engine, found := engineAtAddress(state, up); found && route.Kind == config.RoutePlain {
			return &ExposedError{Route: route.ID, Upstream: id, Engine: engine}
		}
	}
	return nil
}

// engineAtAddress returns an engine or KV cache store that has the address of an upstream.
func engineAtAddress(state *config.State, up *config.Upstream) (ident.UpstreamID, bool) {
	address := hostPort(up.BaseURL)
	for id, other := range state.Upstreams() {
		if other.Kind != config.UpstreamPlain && hostPort(other.BaseURL) == address {
			return id, true
		}
	}
	return "", false
}

// hostPort returns the normalised host and port of a base URL, with the default port of its scheme if it names none.
func hostPort(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return base
	}
	host, port := u.Hostname(), u.Port()
	if ip := net.ParseIP(host); ip != nil {
		host = ip.String()
	}
	if port == "" && u.Scheme == "https" {
		port = "443"
	}
	if port == "" {
		port = "80"
	}
	return net.JoinHostPort(host, port)
}
