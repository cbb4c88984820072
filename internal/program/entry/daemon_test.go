package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const modelHeader = "X-Gooseberryway-Model"

func TestRequestsReachUpstreamsUnchangedAndWithoutKeys(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	engine := f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 4})
	app := f.startUpstream("app", &standin.Upstream{ID: "a1"})
	d := f.start("d1", nil)
	f.ready(2)

	resp := f.call(d, "/draft/x?y=%20z", "r1", "secret", "the prompt", modelHeader, "m", "X-Gooseberryway-Token-Counts", "100,10",
		"X-Gooseberryway-Prompt-Prefix", "aa:50,bb:30,cc:20", "X-Gooseberryway-Hold", "forged", "X-Gooseberryway-Tenant", "other")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "sig-e1", resp.Header.Get("X-Gooseberryway-Response-Signature"))
	require.Equal(t, wantIDs(4), eventIDs(t, resp))
	run := engine.Runs()[0]
	require.Equal(t, "the prompt", run.Body)
	require.Equal(t, "acme", run.Header.Get("X-Gooseberryway-Tenant"))
	require.Equal(t, "e1", run.Header.Get("X-Gooseberryway-Expect-Instance"))
	require.Empty(t, run.Header.Get("Authorization"))
	require.Empty(t, run.Header.Get("X-Gooseberryway-Hold"))
	require.NotEmpty(t, run.Header.Get("X-Gooseberryway-Cache-Salt"))

	require.Equal(t, "answer of a1", text(t, f.call(d, "/order/x", "r2", "secret", "one mirror")))
	require.Len(t, app.Runs(), 1)
	require.Equal(t, http.StatusUnauthorized, f.call(d, "/order/x", "r3", "wrong", "").StatusCode)
	require.Equal(t, http.StatusNotFound, f.call(d, "/nowhere/", "r4", "secret", "").StatusCode)
	require.Len(t, app.Runs(), 1)
}

// A resumable stream whose upstream breaks off must reach the caller without missing or repeated events.
func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	var broken atomic.Bool
	upstreams := []*standin.Upstream{{ID: "e1", Model: "m", Version: 1, EventCount: 6}, {ID: "e2", Model: "m", Version: 1, EventCount: 6}}
	for _, w := range upstreams {
		w.Intercept = func(out http.ResponseWriter, r *http.Request) bool {
			if !broken.CompareAndSwap(false, true) {
				return false
			}
			out.Header().Set("X-Gooseberryway-Attempt-Id", "r1")
			w.Stream(out, r, 2)
			return true
		}
		f.startUpstream("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)

	require.Equal(t, wantIDs(6), eventIDs(t, f.call(d, "/note/x", "r1", "secret", "p", modelHeader, "m")))
	require.Equal(t, 1, len(upstreams[0].Runs())+len(upstreams[1].Runs()))
}

// A stream that breaks off and can't be resumed must not look complete to its caller.
func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	w := &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 6}
	w.Intercept = func(out http.ResponseWriter, r *http.Request) bool { w.Stream(out, r, 2); return true }
	f.startUpstream("llm", w)
	d := f.start("d1", nil)
	f.ready(1)
	_, err := io.ReadAll(f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m").Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A non-idempotent request whose connection breaks after it was sent may have run: a retry could run it twice.
func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	var arrivals atomic.Int32
	dropConnection := func(http.ResponseWriter, *http.Request) bool { arrivals.Add(1); panic(http.ErrAbortHandler) }
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: dropConnection})
	f.startUpstream("app", &standin.Upstream{ID: "a2", Intercept: dropConnection})
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, http.StatusBadGateway, f.call(d, "/order/x", "r1", "secret", "one mirror").StatusCode)
	require.EqualValues(t, 1, arrivals.Load())
	require.Equal(t, http.StatusBadGateway, f.call(d, "/lookup/x", "r2", "secret", "").StatusCode)
	require.EqualValues(t, 3, arrivals.Load(), "an idempotent request is sent to both upstreams")
}

// An upstream that mixes up its responses must not make a caller see the response to somebody else's request.
func TestResponseToAnotherRequestIsNotDelivered(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Gooseberryway-Attempt-Id", "somebody-else")
		w.Header().Set(signatureKey, "sig")
		_, _ = io.WriteString(w, "their answer")
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/order/x", "r1", "secret", "one mirror")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, text(t, resp), "their answer")
}

func TestUpstreamRejectionIsReportedAsNotRun(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Gooseberryway-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/order/x", "r1", "secret", "one mirror")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestRateLimitedRequestGetsRetryAfter(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	d := f.start("d1", nil)
	f.ready(1)
	for i := range 20 {
		resp := f.call(d, "/order/x", "r", "secret", "", "X-Gooseberryway-Token-Counts", "4000,1000")
		if resp.StatusCode == http.StatusTooManyRequests {
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Positive(t, i)
			return
		}
	}
	t.Fatal("100,000 tokens were admitted at a rate of 10,000 and as much burst")
}

// A daemon that can't reach the store must learn from its peers that a key was withdrawn.
func TestWithdrawnKeyIsRefusedByDaemonCutOffFromStore(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret", "other")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	var storeDown atomic.Bool
	f.start("d1", nil)
	isolated := f.start("d2", func(*http.Request) standin.Fault {
		if storeDown.Load() {
			return standin.FaultUnavailable
		}
		return standin.FaultNone
	})
	f.ready(1)
	require.Equal(t, http.StatusOK, f.call(isolated, "/order/x", "r1", "secret", "").StatusCode)
	storeDown.Store(true)
	f.configure(2, "other")
	f.eventually(func() bool {
		return f.call(isolated, "/order/x", "r2", "secret", "").StatusCode == http.StatusUnauthorized
	}, "the withdrawn key is still accepted")
	require.Equal(t, http.StatusOK, f.call(isolated, "/order/x", "r3", "other", "").StatusCode)
}

// All orders to load a version must come from one leader. After it stops, another daemon must take over with a higher
// fencing token.
func TestOneLeaderOrdersWeightLoadsAndAnotherTakesOver(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	upstreams := []*standin.Upstream{}
	for _, id := range []string{"e1", "e2", "e3"} {
		w := &standin.Upstream{ID: id, Model: "m", Version: 1, EventCount: 2, LoadTime: 100 * time.Millisecond}
		upstreams = append(upstreams, f.startUpstream("llm", w))
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		f.start(id, nil)
	}
	f.ready(3)
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
	firstLeader, firstToken := f.waitLoaded(upstreams, 2)
	for _, d := range f.daemons {
		if string(d.Settings.DaemonID) == firstLeader {
			d.stop()
		}
	}
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 3})
	secondLeader, secondToken := f.waitLoaded(upstreams, 3)
	require.NotEqual(t, firstLeader, secondLeader)
	require.Greater(t, secondToken, firstToken)
}

// waitLoaded waits until all upstreams have the version and returns the leader that ordered the loads and the fencing
// token of its orders.
func (f *testFleet) waitLoaded(upstreams []*standin.Upstream, version int64) (leader string, token uint64) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, w := range upstreams {
			if e := w.Registration("", "", "")["models"].([]any)[0].(map[string]any); e["version"] != version {
				return false
			}
		}
		return true
	}, "not all engines have the version")
	for _, w := range upstreams {
		for _, o := range w.Orders() {
			if o.Version != version {
				continue
			}
			if leader == "" {
				leader, token = o.Holder, o.FencingToken
			}
			require.Equal(f.t, leader, o.Holder, "two daemons ordered loads of one version")
		}
	}
	return leader, token
}

func TestDrainingDaemonFinishesStreams(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 10, EventInterval: 50 * time.Millisecond})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m")
	go d.cancel()
	require.Equal(t, wantIDs(10), eventIDs(t, resp))
	f.eventually(func() bool {
		resp, err := http.Get("http://" + d.Settings.Listen.Ready)
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}, "a draining daemon still reports that it is ready")
	<-d.done
}

// A caller that stops reading its response must not keep the request open beyond the deadline.
func TestCallerThatDoesNotReadIsDisconnectedAtDeadline(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	piece := make([]byte, 1<<20)
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(signatureKey, "sig")
		for range 64 {
			if _, err := w.Write(piece); err != nil {
				return true
			}
		}
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m", "X-Gooseberryway-Deadline-Milliseconds", "500")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.eventually(func() bool { return d.inFlight.Load() == 0 }, "the request is still in progress after its deadline")
}

func TestStatusShowsPeersAndConfigVersion(t *testing.T) {
	f := newTestFleet(t)
	f.configure(3, "secret")
	d := f.start("d1", nil)
	f.start("d2", nil)
	f.ready(0)
	resp, err := http.Get("http://" + d.Settings.Listen.Admin + "/v1/status")
	require.NoError(t, err)
	defer resp.Body.Close()
	body := text(t, resp)
	require.Contains(t, body, `"configVersion":3`)
	require.Contains(t, body, `"daemon":"d2","alive":true,"ready":true`)
}
