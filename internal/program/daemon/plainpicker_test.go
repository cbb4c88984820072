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

// newPickerWithLeavingUpstream returns a picker for two plain services, the first of which has just begun to leave.
func newPickerWithLeavingUpstream() *plainPicker {
	table := &health.Table{}
	table.Update(map[ident.UpstreamID]*config.Upstream{
		"p1": {ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:1", Leaving: true},
		"p2": {ID: "p2", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:2"},
	})
	return &plainPicker{health: table, route: &config.Route{ID: "visits", Upstreams: []ident.UpstreamID{"p1", "p2"}}}
}

// Guards against choosing a leaving upstream, even when it is the only one not tried yet.
func TestLeavingUpstreamGetsNoRequest(t *testing.T) {
	p := newPickerWithLeavingUpstream()
	for range 50 {
		target, err := p.Pick(t.Context(), nil)
		require.NoError(t, err)
		require.EqualValues(t, "p2", target.Upstream)
	}
	_, err := p.Pick(t.Context(), []ident.UpstreamID{"p2"})
	var none *NoUpstreamError
	require.ErrorAs(t, err, &none)
}

// Guards against an invariant check that fires within the grace period or does not fire after it.
func TestRequestToDepartedUpstreamViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var violations []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { violations = append(violations, v.Invariant) })()
		u := newPickerWithLeavingUpstream().health.Upstream("p1")
		time.Sleep(health.LeavingGrace - time.Millisecond)
		checkNotLeaving(u, time.Now())
		require.Empty(t, violations)
		time.Sleep(time.Millisecond)
		checkNotLeaving(u, time.Now())
		require.Equal(t, []guard.Invariant{guard.UpstreamLeft}, violations)
	})
}
