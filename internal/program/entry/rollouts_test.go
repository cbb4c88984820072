package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// rolloutStatus returns the status that operators see.
func (f *testFleet) rolloutStatus() (target, state string) {
	f.t.Helper()
	batch, err := f.daemons[0].store.Newest(f.t.Context(), extern.TopicStatus)
	require.NoError(f.t, err)
	for _, r := range batch.Records {
		var w struct {
			Target string `json:"target"`
			State  string `json:"state"`
		}
		require.NoError(f.t, json.Unmarshal(r.Value, &w))
		if r.Key == "rollout/app" {
			return w.Target, w.State
		}
	}
	return "", ""
}

// Guards against a rollout that nobody carries out: a bad release must be rolled back and a good one completed, through the
// platform's interfaces and with the loss of the leader.
func TestRolloutOnPlatform(t *testing.T) {
	const within, order = 6 * time.Second, "rollout/app"
	for name, c := range map[string]struct {
		bad  bool
		want string
	}{"good": {false, "completed"}, "fails": {true, "rolled_back"}} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			var exposed atomic.Int32
			f.startUpstream("app", &standin.Upstream{ID: "old"})
			for i := range 3 {
				f.start(fmt.Sprint("d", i), nil)
			}
			f.ready(1)
			f.eventually(func() bool { return f.daemons[2].pastStartup() && f.daemons[0].hasLeader() }, "no leader")
			f.store.Put("keyed.op", order, map[string]any{"service": "app", "target": "v2", "duration-s": within.Seconds()})
			f.startUpstream("app", &standin.Upstream{ID: "new", Release: "v2", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
				exposed.Add(1)
				if c.bad {
					w.WriteHeader(http.StatusInternalServerError)
				}
				return c.bad
			}})
			var callers sync.WaitGroup
			started, total := time.Now(), 0
			for killed := false; time.Since(started) < within; total++ {
				daemons := f.daemons
				if time.Since(started) > within/3 && !killed {
					killed = true
					f.stopLeader()
				}
				n := total
				callers.Go(func() {
					d := daemons[n%len(daemons)]
					if d.leaving.Load() {
						return
					}
					f.call(d, "/order/x", fmt.Sprint("r", n), "secret", "x")
				})
				time.Sleep(12 * time.Millisecond)
			}
			callers.Wait()
			target, state := f.rolloutStatus()
			require.Equal(t, "v2", target)
			require.Equal(t, c.want, state)
			if c.bad {
				require.LessOrEqual(t, int(exposed.Load()), total/10+50)
			}
		})
	}
}

// hasLeader reports whether this daemon or a peer is the leader.
func (r *testDaemon) hasLeader() bool { return r.elector.Term() > 0 || r.hasOtherLeader() }

// stopLeader stops the daemon that is the leader, if there is one.
func (f *testFleet) stopLeader() {
	for _, d := range f.daemons {
		if d.elector.Term() > 0 {
			d.leaving.Store(true)
			d.cancel()
			return
		}
	}
}
