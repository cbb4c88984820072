package route

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// TestDecisionForUnsuitableEngineIsRefused guards against sending requests to an engine of another model, or to one that
// has been leaving for longer than the grace, when the configuration changes during a decision.
func TestDecisionForUnsuitableEngineIsRefused(t *testing.T) {
	cases := []struct {
		name      string
		invariant guard.Invariant
		upstream  config.Upstream
	}{
		{"engine of another model", guard.CacheFresh, config.Upstream{Model: "other"}},
		{"engine left", guard.UpstreamLeft, config.Upstream{Model: "girth", Leaving: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := tc.upstream
				up.ID, up.Kind = "e1", config.UpstreamEngine
				table := &health.Table{}
				table.Update(map[ident.UpstreamID]*config.Upstream{up.ID: &up})
				time.Sleep(health.LeavingGrace + time.Second)
				var violations []*guard.ViolationError
				defer guard.Capture(func(v *guard.ViolationError) { violations = append(violations, v) })()
				r := &Router{Policy: LeastLoad{}, Health: table}
				c := &candidate{upstream: table.Upstream("e1")}
				_, refusal := r.decide(c, ReasonBaseline, &Request{Scope: prefix.Scope{Model: "girth"}}, time.Now())
				require.Len(t, violations, 1)
				require.Equal(t, tc.invariant, violations[0].Invariant)
				require.NotNil(t, refusal)
				require.Equal(t, RefusedStale, refusal.Reason)
			})
		})
	}
}
