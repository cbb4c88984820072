package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// silentFor is longer than an upstream may send nothing before it is taken to hang, and shorter than callers wait.
const silentFor = 3 * time.Second

// quietUpstream is sound: it answers after a time in which it sends nothing, a stream after its first events.
func quietUpstream(id, model string, firstEvents int, took time.Duration) *standin.Upstream {
	u := &standin.Upstream{ID: id, Model: model, Version: 1}
	u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig-"+id)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if model != "" {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if firstEvents > last {
			_, _ = io.WriteString(w, events(last+1, firstEvents, "\n"))
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-time.After(took):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if model != "" {
			_, _ = io.WriteString(w, events(max(firstEvents, last)+1, streamLength, "\n"))
		}
		return true
	}
	return u
}

// Guards against the end of a sound answer for the silence of its upstream, where no other attempt can follow.
func TestSilentAnswerIsNotGivenUpForNothing(t *testing.T) {
	routes := []struct {
		path, service, model string
		firstEvents          int
	}{{"/note/x", "llm", "m", 0}, {"/note/x", "llm", "m", 1}, {"/lookup/x", "app", "", 0}}
	for name, prepare := range map[string]func(f *testFleet, d *testDaemon, service string){
		"no other upstream": func(*testFleet, *testDaemon, string) {},
		"other upstream down": func(f *testFleet, _ *testDaemon, service string) {
			other := quietUpstream("w2", map[string]string{"llm": "m"}[service], 1, 0)
			f.startUpstream(service, other)
			f.ready(2)
			other.Close()
		},
		"no retry budget": func(f *testFleet, d *testDaemon, service string) {
			f.startUpstream(service, quietUpstream("w2", map[string]string{"llm": "m"}[service], 1, silentFor))
			f.ready(2)
			for budget := d.handler.RetryBudgets.Of(view.ServiceID(service)); budget.TryWithdraw(); {
			}
		},
		"planned stop": func(f *testFleet, _ *testDaemon, service string) {
			f.startUpstream(service, quietUpstream("w2", map[string]string{"llm": "m"}[service], 1, silentFor))
			f.ready(2)
		},
	} {
		for _, r := range routes {
			t.Run(fmt.Sprintf("%s%s, %d events first", name, r.path, r.firstEvents), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.configureRate(1, 1_000_000, "secret")
				f.startUpstream(r.service, quietUpstream("w1", r.model, r.firstEvents, silentFor))
				d := f.start("d1", nil)
				f.ready(1)
				prepare(f, d, r.service)
				if name == "planned stop" {
					time.AfterFunc(100*time.Millisecond, d.cancel)
				}
				requireWholeAnswer(t, f.call(d, r.path, "r1", "secret", "p", modelHeader, r.model))
			})
		}
	}
}

func requireWholeAnswer(t *testing.T, resp *http.Response) {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the answer is cut after %q", body)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)
}

// Guards against calling off requests at engines that are slow but sound, as their reports show, each of which takes as long elsewhere.
func TestSoundSilentEngineIsNotCalledOff(t *testing.T) {
	for _, firstEvents := range []int{0, 1} {
		t.Run(fmt.Sprint(firstEvents, " events first"), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1_000_000, "secret")
			var mu sync.Mutex
			runs := map[string]int{}
			for i := range 4 {
				u := quietUpstream(fmt.Sprint("e", i), "m", firstEvents, 3500*time.Millisecond)
				answer := u.Intercept
				u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
					mu.Lock()
					runs[r.Header.Get(requestIDKey)]++
					mu.Unlock()
					return answer(w, r)
				}
				f.startUpstream("llm", u)
			}
			d := f.start("d1", nil)
			f.ready(4)
			const requests = 8
			whole := make([]bool, requests)
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					resp, err := http.DefaultClient.Do(f.request(t.Context(), d, "/note/x", fmt.Sprint("r", i), "secret", fmt.Sprint(i), modelHeader, "m"))
					if err != nil {
						return
					}
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					whole[i] = err == nil && resp.StatusCode == http.StatusOK
				})
			}
			wg.Wait()
			mu.Lock()
			defer mu.Unlock()
			lost, again := 0, 0
			for i, ok := range whole {
				if !ok {
					lost++
				}
				again += runs[fmt.Sprint("r", i)] - 1
			}
			t.Logf("%d requests, run again %d, lost %d", requests, again, lost)
			require.Zero(t, lost)
			require.Zero(t, again)
		})
	}
}

// Guards against waiting long for an engine that hangs, where another one can go on: its process is frozen, or it has lost the request.
func TestHungEngineIsGivenUpInTime(t *testing.T) {
	const allowed = 2 * time.Second
	for _, reports := range []string{"unanswered", "idle"} {
		for _, firstEvents := range []int{0, 1} {
			t.Run(fmt.Sprintf("reports %s, %d events first", reports, firstEvents), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.configureRate(1, 1_000_000, "secret")
				var hung atomic.Bool
				end := make(chan struct{})
				t.Cleanup(func() { close(end) })
				for i := range 2 {
					u := quietUpstream(fmt.Sprint("e", i), "m", firstEvents, 0)
					answer := u.Intercept
					u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
						switch {
						case hung.Swap(true):
							return answer(w, r)
						case reports == "unanswered":
							go u.FreezeReports(4 * time.Second)
							return quietUpstream(u.ID, "m", firstEvents, 4*time.Second).Intercept(w, r)
						}
						c, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return true
						}
						if firstEvents > 0 {
							_, _ = io.WriteString(c, strings.ReplaceAll(brokenStream(events(1, firstEvents, "\n")), "@id", r.Header.Get(requestIDKey)))
						}
						go func() {
							<-end
							_ = c.Close()
						}()
						return true
					}
					f.startUpstream("llm", u)
				}
				d := f.start("d1", nil)
				f.ready(2)
				start := time.Now()
				require.Equal(t, wantIDs(streamLength), eventIDs(t, f.call(d, "/note/x", "r1", "secret", "p", modelHeader, "m")))
				t.Logf("answered after %v", time.Since(start))
				require.Less(t, time.Since(start), allowed)
			})
		}
	}
}

// Guards against retries that are lost with an attempt that was secured and isn't needed, as the silent upstream answers meanwhile.
func TestUnusedSecuredAttemptIsGivenBack(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	upstreams := []*standin.Upstream{quietUpstream("w1", "", 0, 1700*time.Millisecond), quietUpstream("w2", "", 0, 1700*time.Millisecond)}
	var runs atomic.Int64
	for _, u := range upstreams {
		answer := u.Intercept
		u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			runs.Add(1)
			return answer(w, r)
		}
		f.startUpstream("app", u)
	}
	d := f.start("d1", nil)
	f.ready(2)
	connected := make(chan struct{}, 1)
	d.handler.CanConnect = func(context.Context, string) bool {
		time.Sleep(500 * time.Millisecond)
		connected <- struct{}{}
		return true
	}
	budget := d.handler.RetryBudgets.Of("app")
	before := budget.Balance()
	requireWholeAnswer(t, f.call(d, "/lookup/x", "r1", "secret", "p"))
	<-connected
	f.eventually(func() bool { return budget.Balance() == before }, "the retry is lost")
	require.EqualValues(t, 1, runs.Load())
}

// Guards against calling off requests at sound upstreams after less than hangTimeout, as they accept no new connections for a while.
func TestUpstreamWithFullBacklogIsNotCalledOff(t *testing.T) {
	for _, c := range []struct{ path, service, model string }{{"/note/x", "llm", "m"}, {"/lookup/x", "app", ""}} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.cuttable = true
			f.configureRate(1, 1_000_000, "secret")
			var d *testDaemon
			var runs atomic.Int64
			for i := range 2 {
				u := quietUpstream(fmt.Sprint("u", i), c.model, 0, 1200*time.Millisecond)
				answer := u.Intercept
				u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
					if runs.Add(1) == 1 {
						d.link.set(linkDropsNew, func(address string) bool { return address == fmt.Sprint(r.Context().Value(http.LocalAddrContextKey)) })
					}
					return answer(w, r)
				}
				f.startUpstream(c.service, u)
			}
			d = f.start("d1", nil)
			f.ready(2)
			requireWholeAnswer(t, f.call(d, c.path, "r1", "secret", "p", modelHeader, c.model))
			require.EqualValues(t, 1, runs.Load(), "the second run is in vain")
		})
	}
}

// Guards against an engine that is taken to hang for one report that was lost, as on a kept connection that went silent.
func TestOneLostReportIsNoHang(t *testing.T) {
	for _, c := range []struct{ from, lost time.Duration }{
		{800 * time.Millisecond, 800 * time.Millisecond},
		{500 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(fmt.Sprint("from ", c.from), func(t *testing.T) {
			f := newTestFleet(t)
			f.configureRate(1, 1_000_000, "secret")
			var runs atomic.Int64
			for i := range 2 {
				u := quietUpstream(fmt.Sprint("e", i), "m", 0, 2500*time.Millisecond)
				answer := u.Intercept
				u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
					if runs.Add(1) == 1 {
						time.AfterFunc(c.from, func() { u.FreezeReports(c.lost) })
					}
					return answer(w, r)
				}
				f.startUpstream("llm", u)
			}
			d := f.start("d1", nil)
			f.ready(2)
			requireWholeAnswer(t, f.call(d, "/note/x", "r1", "secret", "p", modelHeader, "m"))
			require.EqualValues(t, 1, runs.Load(), "the second run is in vain")
		})
	}
}
