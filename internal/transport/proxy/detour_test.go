package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/detour"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
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

// Guards against giving up a silent peer, which may still answer, when no other peer follows.
func TestSilentPeerIsGivenUpOnlyForAnotherPeer(t *testing.T) {
	for name, c := range map[string]struct {
		tried []ident.DaemonID
		peers []ident.DaemonID
		want  error
	}{
		"another follows":     {[]ident.DaemonID{"silent"}, []ident.DaemonID{"silent", "other"}, errUnresponsive},
		"no other":            {[]ident.DaemonID{"silent"}, []ident.DaemonID{"silent"}, nil},
		"last of the detours": {[]ident.DaemonID{"first", "silent"}, []ident.DaemonID{"silent", "other"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &detour.Chooser{
					Peers: func() (known []fleet.Peer) {
						for _, id := range c.peers {
							known = append(known, fleet.Peer{ID: id, Ready: true, TakesRequests: true, LastHeartbeatAt: time.Now()})
						}
						return known
					},
					IsAlive:  func(id ident.DaemonID) bool { return id != "silent" },
					IsActive: func(ident.DaemonID) bool { return true },
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				r := &call{
					Handler: &Handler{Peers: peers, Snapshots: &view.Snapshots{}, Stop: &shed.Stop{}, Detector: &poison.Detector{}},
					r:       httptest.NewRequestWithContext(ctx, http.MethodPost, "/", http.NoBody), ctx: ctx, deadline: time.Now().Add(time.Minute),
					route: &view.Route{Kind: view.KindIdempotent, MaxAttempts: 4}, config: &view.Config{},
				}
				r.watchPeer(ctx, cancel, c.tried, 1)
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, c.want, context.Cause(ctx))
			})
		})
	}
}
