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

const model = "X-Gooseberryway-Model"

func TestRequestsReachWorkersUnchangedAndWithoutKeys(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	engine := f.worker("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 4})
	app := f.worker("app", &standin.Upstream{ID: "a1"})
	d := f.start("d1", nil)
	f.ready(2)

	resp := f.call(d, "/draft/x?y=%20z", "r1", "secret", "the prompt", model, "m", "X-Gooseberryway-Token-Counts", "100,10",
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

func TestAResumableStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	var broken atomic.Bool
	workers := []*standin.Upstream{{ID: "e1", Model: "m", Version: 1, EventCount: 6}, {ID: "e2", Model: "m", Version: 1, EventCount: 6}}
	for _, w := range workers {
		w.Intercept = func(out http.ResponseWriter, r *http.Request) bool {
			if !broken.CompareAndSwap(false, true) {
				return false
			}
			out.Header().Set("X-Gooseberryway-Attempt-Id", "r1")
			w.Stream(out, r, 2)
			return true
		}
		f.worker("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)

	require.Equal(t, wantIDs(6), eventIDs(t, f.call(d, "/note/x", "r1", "secret", "p", model, "m")))
	require.Equal(t, 1, len(workers[0].Runs())+len(workers[1].Runs()))
}

func TestAStreamThatMustNotBeResumedIsCutNotCompleted(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	w := &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 6}
	w.Intercept = func(out http.ResponseWriter, r *http.Request) bool { w.Stream(out, r, 2); return true }
	f.worker("llm", w)
	d := f.start("d1", nil)
	f.ready(1)
	_, err := io.ReadAll(f.call(d, "/draft/x", "r1", "secret", "p", model, "m").Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestACallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	var arrivals atomic.Int32
	lose := func(http.ResponseWriter, *http.Request) bool { arrivals.Add(1); panic(http.ErrAbortHandler) }
	f.worker("app", &standin.Upstream{ID: "a1", Intercept: lose})
	f.worker("app", &standin.Upstream{ID: "a2", Intercept: lose})
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, http.StatusBadGateway, f.call(d, "/order/x", "r1", "secret", "one mirror").StatusCode)
	require.EqualValues(t, 1, arrivals.Load())
	require.Equal(t, http.StatusBadGateway, f.call(d, "/lookup/x", "r2", "secret", "").StatusCode)
	require.EqualValues(t, 3, arrivals.Load(), "a call that may be repeated is tried at both")
}

func TestAnAnswerToAnotherRequestIsNotDelivered(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("X-Gooseberryway-Attempt-Id", "somebody-else")
		_, _ = io.WriteString(w, "their answer")
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/order/x", "r1", "secret", "one mirror")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, text(t, resp), "their answer")
}

func TestARefusalOfTheUpstreamIsPassedOnAsNotRun(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
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

func TestAnOrganisationOverItsLimitIsToldWhenToComeBack(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1"})
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

func TestAWithdrawnKeyStopsAtADaemonThatTheStoreRefuses(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret", "other")
	f.worker("app", &standin.Upstream{ID: "a1"})
	var refuse atomic.Bool
	f.start("d1", nil)
	cut := f.start("d2", func(*http.Request) standin.Fault {
		if refuse.Load() {
			return standin.FaultUnavailable
		}
		return standin.FaultNone
	})
	f.ready(1)
	require.Equal(t, http.StatusOK, f.call(cut, "/order/x", "r1", "secret", "").StatusCode)
	refuse.Store(true)
	f.configure(2, "other")
	f.eventually(func() bool {
		return f.call(cut, "/order/x", "r2", "secret", "").StatusCode == http.StatusUnauthorized
	}, "the withdrawn key still works")
	require.Equal(t, http.StatusOK, f.call(cut, "/order/x", "r3", "other", "").StatusCode)
}

func TestWeightsAreLoadedByOneDaemonAndAnotherTakesOver(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	workers := []*standin.Upstream{}
	for _, id := range []string{"e1", "e2", "e3"} {
		w := &standin.Upstream{ID: id, Model: "m", Version: 1, EventCount: 2, LoadTime: 100 * time.Millisecond}
		workers = append(workers, f.worker("llm", w))
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		f.start(id, nil)
	}
	f.ready(3)
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
	first, fence := f.loaded(workers, 2)
	for _, d := range f.daemons {
		if string(d.Settings.DaemonID) == first {
			d.stop()
		}
	}
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 3})
	second, later := f.loaded(workers, 3)
	require.NotEqual(t, first, second)
	require.Greater(t, later, fence)
}

// loaded waits until all workers have the version and returns the holder and the fence of its orders.
func (f *rig) loaded(workers []*standin.Upstream, version int64) (holder string, fence uint64) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, w := range workers {
			if e := w.Registration("", "", "")["models"].([]any)[0].(map[string]any); e["version"] != version {
				return false
			}
		}
		return true
	}, "not all engines have the version")
	for _, w := range workers {
		for _, o := range w.Orders() {
			if o.Version != version {
				continue
			}
			if holder == "" {
				holder, fence = o.Holder, o.FencingToken
			}
			require.Equal(f.t, holder, o.Holder, "two daemons gave orders for one version")
		}
	}
	return holder, fence
}

func TestALeavingDaemonFinishesItsStreams(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 10, EventInterval: 50 * time.Millisecond})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/draft/x", "r1", "secret", "p", model, "m")
	go d.cancel()
	require.Equal(t, wantIDs(10), eventIDs(t, resp))
	f.eventually(func() bool {
		resp, err := http.Get("http://" + d.Settings.Listen.Ready)
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}, "a leaving daemon still says that it is ready")
	<-d.done
}

func TestACallerThatDoesNotReadIsCutAtItsDeadline(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	piece := make([]byte, 1<<20)
	f.worker("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		for range 64 {
			if _, err := w.Write(piece); err != nil {
				return true
			}
		}
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/draft/x", "r1", "secret", "p", model, "m", "X-Gooseberryway-Deadline-Milliseconds", "500")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.eventually(func() bool { return d.inFlight.Load() == 0 }, "the request is held up by its caller")
}

func TestStatusTellsOfPeersAndConfiguration(t *testing.T) {
	f := newRig(t)
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
