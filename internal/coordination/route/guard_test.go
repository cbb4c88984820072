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

func TestADecisionForTheWrongEngineIsAViolationAndRefused(t *testing.T) {
	cases := []struct {
		name      string
		invariant guard.Invariant
		upstream  config.Upstream
	}{
		{"another model", guard.CacheFresh, config.Upstream{Model: "other"}},
		{"left", guard.UpstreamLeft, config.Upstream{Model: "girth", Leaving: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := tc.upstream
				up.ID, up.Kind = "e1", config.UpstreamEngine
				table := &health.Table{}
				table.Update(map[ident.UpstreamID]*config.Upstream{up.ID: &up})
				time.Sleep(health.LeavingGrace + time.Second)
				var seen []*guard.ViolationError
				defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
				r := &Router{Policy: LeastLoad{}, Health: table}
				c := &candidate{upstream: table.Upstream("e1")}
				_, refusal := r.decide(c, ReasonBaseline, &Request{Scope: prefix.Scope{Model: "girth"}}, time.Now())
				require.Len(t, seen, 1)
				require.Equal(t, tc.invariant, seen[0].Invariant)
				require.NotNil(t, refusal)
				require.Equal(t, RefusedStale, refusal.Reason)
			})
		})
	}
}
