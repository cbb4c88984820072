package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against forwarding what a peer refuses for its own state, or by an older configuration than the one that allowed the request.
func TestRefusalsAfterWhichAnotherPeerIsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		reason   Reason
		status   int
		version  int64
		arrivals int
		sent     bool
		want     bool
	}{
		"an upstream's answer":          {"", http.StatusServiceUnavailable, 5, 1, false, false},
		"cut off as well":               {ReasonNoUpstream, http.StatusServiceUnavailable, 5, 0, false, true},
		"over the organisation's limit": {ReasonOverLimit, http.StatusTooManyRequests, 5, 0, false, false},
		"after an attempt of its own":   {ReasonOverLimit, http.StatusTooManyRequests, 5, 0, true, true},
		"unknown key, older":            {ReasonUnknownKey, http.StatusUnauthorized, 4, 0, false, true},
		"unknown key, as new":           {ReasonUnknownKey, http.StatusUnauthorized, 5, 0, false, false},
		"no route, older":               {ReasonNoRoute, http.StatusNotFound, 4, 0, false, true},
		"key withdrawn after a run":     {ReasonUnknownKey, http.StatusUnauthorized, 4, 1, false, false},
		"timeout":                       {ReasonTimeout, http.StatusGatewayTimeout, 4, 1, false, false},
	} {
		call := &call{config: &view.Config{Version: 5}}
		if c.sent {
			call.sentAt = time.Now()
		}
		got := call.mayPassAfter(&hopOutcome{reason: c.reason, arrivals: c.arrivals}, c.status, fleet.Peer{ConfigVersion: c.version})
		require.Equal(t, c.want, got, name)
	}
}
