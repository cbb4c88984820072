package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a good rollout that begins anew, or ends too late, because the store returned from an older copy in its midst.
func TestRolloutIsCompletedThroughRestoreOfStore(t *testing.T) {
	const within, key = 8 * time.Second, "rollout/app"
	for name, c := range map[string]struct {
		copyHasOrder, writtenAgain, restart bool
	}{
		"the copy is older than the order":               {false, true, false},
		"the copy has the order":                         {true, false, false},
		"the copy has the order, it is written again":    {true, true, false},
		"the copy is older, all daemons but one restart": {false, true, true},
		"the copy has the order, all but one restart":    {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			f.startUpstream("app", &standin.Upstream{ID: "old"})
			for i := range 3 {
				f.start(fmt.Sprint("d", i), nil)
			}
			f.ready(1)
			f.eventually(func() bool { return f.daemons[2].pastStartup() && f.daemons[0].hasLeader() }, "no leader")
			f.startUpstream("app", &standin.Upstream{ID: "new", Release: "v2"})
			older := f.store.Copy()
			order := map[string]any{"service": "app", "target": "v2", "duration-s": within.Seconds()}
			f.store.Put("keyed.op", key, order)
			if c.copyHasOrder {
				time.Sleep(300 * time.Millisecond)
				older = f.store.Copy()
			}
			var callers sync.WaitGroup
			restored := false
			for started, n := time.Now(), 0; time.Since(started) < within; n++ {
				if time.Since(started) > within/2 && !restored {
					restored = true
					f.store.Restore(older)
					if c.writtenAgain {
						f.store.Put("keyed.op", key, order)
					}
					if c.restart {
						f.daemons[1].stop()
						f.daemons[2].stop()
						<-f.start("d1", nil).Listening()
						<-f.start("d2", nil).Listening()
					}
				}
				daemons := f.daemons
				callers.Go(func() {
					if d := daemons[n%len(daemons)]; d.ready() {
						f.call(d, "/order/x", fmt.Sprint("r", n), "secret", "x")
					}
				})
				time.Sleep(15 * time.Millisecond)
			}
			callers.Wait()
			target, state := f.rolloutStatus()
			require.Equal(t, "v2", target)
			require.Equal(t, "completed", state)
		})
	}
}
