package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// services returns two plain services, of which the first is leaving since now.
func services() *plainPicker {
	table := &health.Table{}
	table.Update(map[ident.UpstreamID]*config.Upstream{
		"p1": {ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:1", Leaving: true},
		"p2": {ID: "p2", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:2"},
	})
	return &plainPicker{health: table, route: &config.Route{ID: "visits", Upstreams: []ident.UpstreamID{"p1", "p2"}}}
}

func TestALeavingServiceGetsNoCall(t *testing.T) {
	p := services()
	for range 50 {
		target, err := p.Pick(t.Context(), nil)
		require.NoError(t, err)
		require.EqualValues(t, "p2", target.Upstream)
	}
	_, err := p.Pick(t.Context(), []ident.UpstreamID{"p2"})
	var none *NoUpstreamError
	require.ErrorAs(t, err, &none)
}

func TestACallForAServiceThatLeftIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
		u := services().health.Upstream("p1")
		time.Sleep(health.LeavingGrace - time.Millisecond)
		checkStays(u, time.Now())
		require.Empty(t, seen)
		time.Sleep(time.Millisecond)
		checkStays(u, time.Now())
		require.Equal(t, []guard.Invariant{guard.UpstreamLeft}, seen)
	})
}
