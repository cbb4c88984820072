package orders

import (
	"fmt"
	"net"
	"net/url"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ExposedError says that callers of a plain route could reach an upstream that takes orders from anybody.
type ExposedError struct {
	Route    ident.RouteID
	Upstream ident.UpstreamID
	Engine   ident.UpstreamID
}

func (e *ExposedError) Error() string {
	return fmt.Sprintf("route %s: upstream %s is reached at the address of engine %s, which must not be open to callers",
		e.Route, e.Upstream, e.Engine)
}

// CheckRoute checks that no plain route leads to the address of an engine or KV cache store. Call it before a route or
// an upstream is written, with the state as it would be. The error is an *ExposedError.
func CheckRoute(state *config.State, route *config.Route) error {
	for _, id := range route.Upstreams {
		up, ok := state.Upstream(id)
		if !ok {
			continue
		}
		if engine, hit := engineAt(state, up); hit && route.Kind == config.RoutePlain {
			return &ExposedError{Route: route.ID, Upstream: id, Engine: engine}
		}
	}
	return nil
}

func engineAt(state *config.State, up *config.Upstream) (ident.UpstreamID, bool) {
	at := hostPort(up.BaseURL)
	for id, other := range state.Upstreams() {
		if other.Kind != config.UpstreamPlain && hostPort(other.BaseURL) == at {
			return id, true
		}
	}
	return "", false
}

// hostPort returns the address of a base URL in one spelling.
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
