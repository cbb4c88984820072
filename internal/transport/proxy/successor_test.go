package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against an attempt that was secured, and is sent although the key was withdrawn or the time is over since.
func TestSecuredAttemptIsCheckedWhenItIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*call)
		want   Reason
	}{
		"key withdrawn": {func(c *call) { c.Snapshots.SetConfig(&view.Config{Version: 2}) }, ReasonUnknownKey},
		"time is over":  {func(c *call) { c.deadline = time.Now() }, ReasonTimeout},
		"evacuated": {func(c *call) {
			c.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: "z", Offset: 1})
		}, ReasonNoUpstream},
		"long ago": {func(*call) { time.Sleep(2 * time.Second) }, ReasonNoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				snapshots := &view.Snapshots{}
				snapshots.SetConfig(&view.Config{Version: 1})
				r := &call{
					Handler: &Handler{
						Snapshots: snapshots, Placer: &place.Placer{Snapshots: snapshots}, Stop: &shed.Stop{}, Detector: &poison.Detector{},
						RetryBudgets: &view.PerService[relay.RetryBudget]{}, Shedders: &view.PerService[shed.Controller]{},
						Rollouts: &canary.Controller{Snapshots: snapshots},
					},
					r: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody), ctx: t.Context(),
					deadline: time.Now().Add(time.Minute), route: &view.Route{Kind: view.KindIdempotent, MaxAttempts: 4},
					config: snapshots.Config(), org: &view.Organisation{ID: "acme"}, attempts: 1, sentAt: time.Now(),
				}
				budget := r.RetryBudgets.Of("")
				full := budget.Balance()
				require.True(t, budget.TryWithdraw())
				p := &progress{placeReq: &place.Request{}, next: &successor{
					choice: &place.Choice{Upstream: &view.Upstream{ID: "u", FailureDomain: "z"}}, request: &place.Request{}, securedAt: time.Now(),
				}}
				c.change(r)
				choice, err := r.nextChoice(p)
				r.release(p.next)
				require.Nil(t, choice)
				var refusal *RefusedError
				require.ErrorAs(t, err, &refusal)
				require.Equal(t, c.want, refusal.Reason)
				require.Equal(t, full, budget.Balance())
			})
		})
	}
}
