package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
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
