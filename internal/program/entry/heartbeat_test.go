package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against quarantines that take up what daemons without traffic may spend on control.
func TestQuarantinesLeaveIdleDaemonsWithinControlBudget(t *testing.T) {
	const budget = 6000.0
	d := &poison.Detector{}
	for i := range 64 {
		d.Apply(poison.News{Quarantines: []poison.Quarantine{{
			Subjects: poison.Set{poison.HashPart(fmt.Sprint(i)), poison.HashPart(fmt.Sprint(-i))}, Strikes: 2, Since: time.Now().Add(-time.Hour),
		}}})
	}
	require.Len(t, d.Quarantines(), 64)
	time.Sleep(3100 * time.Millisecond)
	told := map[string]bool{}
	for range 64 {
		news := d.IdleNews()
		for _, q := range news.Quarantines {
			told[q.Subjects.Key()] = true
		}
		perSecond := float64(idleTellers*proto.Size(&wire.Beat{Prompts: encodeEvidence(news)})) / fleet.IdleHeartbeatPeriod(8).Seconds()
		require.Less(t, perSecond, budget/4)
	}
	require.Len(t, told, 64, "all are told in turn")
}

// Guards against limits and rollouts that take up what daemons without traffic may spend on control, 6 KB a second.
func TestLimitsAndRolloutsLeaveIdleDaemonsWithinControlBudget(t *testing.T) {
	const budget = 6000.0
	for daemons, limited := range map[int]int{8: 8, 87: 40, 195: 60, 410: 200} {
		var news []uprate.News
		var rejections reject.Table
		for i := range limited {
			news = append(news, uprate.News{
				Upstream: ident.UpstreamID(fmt.Sprint("i-", i)), Incarnation: 1796398941001, Rate: 1.4, Age: time.Second, Confirmed: true,
			})
			u := &view.Upstream{ID: ident.UpstreamID(fmt.Sprint("i-", i)), Incarnation: 1796398941001, Service: "model-pool"}
			rejections.Observe(u, time.Now(), &view.RejectionLimit{PerSecond: 6})
			gone := &view.Upstream{ID: u.ID + "x", Incarnation: 1796398941001, Service: "survey-app"}
			rejections.Observe(gone, time.Now(), &view.RejectionLimit{PerSecond: 6})
			rejections.Observe(gone, time.Now().Add(time.Second), &view.NoRejectionLimit{})
		}
		b := &wire.Beat{Limits: encodeLimits(news), Rejections: encodeRejectionLimits(rejections.IdleNews()), Rollouts: encodeStages([]canary.Stage{{
			Service: "model-pool", Release: "v2", State: view.RolloutRolledBack, Order: 12, Term: 31, Sequence: 9,
		}})}
		perSecond := float64(idleTellers*proto.Size(b)) / fleet.IdleHeartbeatPeriod(daemons).Seconds()
		t.Logf("%d daemons, %d limits: %.0f B/s", daemons, limited, perSecond)
		require.Less(t, perSecond, budget/2, "%d daemons", daemons)
	}
}
