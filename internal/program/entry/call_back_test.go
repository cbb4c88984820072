package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a request that is sent while its weights are the newest and waits at its engine, which gives the first token on them after their
// limit. A header and a comment are no first token.
func TestRequestWithoutFirstTokenIsCalledBackBeforeLimitOnReplacedWeights(t *testing.T) {
	waiting := map[string]func(w http.ResponseWriter){
		"no header": func(http.ResponseWriter) {},
		"header":    func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
		"comment": func(w http.ResponseWriter) {
			_, _ = w.Write([]byte(": wait\n\n"))
			_ = http.NewResponseController(w).Flush()
		},
	}
	for name, sendFirst := range waiting {
		for path, status := range map[string]int{"/note/x": http.StatusOK, "/draft/x": http.StatusBadGateway} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.weightsMs = 2000
				f.configure(1, "secret")
				f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
				dropped := make(chan time.Time, 1)
				f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, LoadTime: time.Minute, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
					w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
					w.Header().Set(signatureKey, "sig")
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.Copy(io.Discard, r.Body)
					sendFirst(w)
					select {
					case <-r.Context().Done():
					case <-time.After(5 * time.Second):
					}
					dropped <- time.Now()
					return true
				}})
				d := f.start("d0", nil)
				f.ready(1)
				var named time.Time
				time.AfterFunc(200*time.Millisecond, func() {
					f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
					named = time.Now()
					f.startUpstream("llm", &standin.Upstream{ID: "e2", Model: "m", Version: 2, EventCount: 2})
				})
				resp := f.call(d, path, "r1", "secret", "p", modelHeader, "m")
				body := bodyOf(resp)
				at := <-dropped
				require.Less(t, at.Sub(named), 2*time.Second, "the engine may still begin it")
				if name == "comment" && path == "/draft/x" {
					require.NotContains(t, body, "data:", "the response had begun and is cut")
					return
				}
				require.Equal(t, status, resp.StatusCode, body)
			})
		}
	}
}

// Guards against a call back after the first token, which cuts an answer that began within the limit.
func TestRequestThatHasBegunIsNotCalledBack(t *testing.T) {
	for name, c := range map[string]struct{ contentType, first, rest string }{
		"stream, in its first event": {"text/event-stream", "id: 1\ndata: a", "b\n\n"},
		"stream, in its first line":  {"text/event-stream", "data: a", "b\n\n"},
		"stream, after an event":     {"text/event-stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
		"no stream":                  {"application/json", "[1,", "2]"},
	} {
		for _, path := range []string{"/draft/x", "/note/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.weightsMs = 2000
				f.configure(1, "secret")
				f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
				f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, LoadTime: time.Minute, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
					_, _ = io.Copy(io.Discard, r.Body)
					w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
					w.Header().Set(signatureKey, "sig")
					w.Header().Set("Content-Type", c.contentType)
					_, _ = io.WriteString(w, c.first)
					_ = http.NewResponseController(w).Flush()
					select {
					case <-r.Context().Done():
						panic(http.ErrAbortHandler)
					case <-time.After(2500 * time.Millisecond):
					}
					_, _ = io.WriteString(w, c.rest)
					return true
				}})
				d := f.start("d0", nil)
				f.ready(1)
				time.AfterFunc(200*time.Millisecond, func() { f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2}) })
				resp := f.call(d, path, "r1", "secret", "p", modelHeader, "m")
				require.Equal(t, c.first+c.rest, text(t, resp))
				require.Equal(t, http.StatusOK, resp.StatusCode)
			})
		}
	}
}

// Guards against an engine that sends comments while a request waits and is taken for fast.
func TestCommentIsNoFirstToken(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	waits, begin := make(chan struct{}), make(chan struct{})
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, ": wait\n\n")
		_ = http.NewResponseController(w).Flush()
		close(waits)
		<-begin
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		return true
	}})
	d := f.start("d0", nil)
	f.ready(1)
	done := make(chan string)
	go func() {
		done <- bodyOf(f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m", "X-Gooseberryway-Token-Counts", "100,8"))
	}()
	<-waits
	time.Sleep(200 * time.Millisecond)
	waiting := d.placer.WorkAt("e1")
	close(begin)
	require.Contains(t, <-done, "data: a")
	require.EqualValues(t, 100, waiting.PrefillTokens, "its prompt counts as processed")
}

// Guards against a limit that is no longer than its margin and then counts as none.
func TestShortLimitOnReplacedWeightsHolds(t *testing.T) {
	for _, limit := range []time.Duration{600 * time.Millisecond, time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.weightsMs = limit.Milliseconds()
			f.configure(1, "secret")
			f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
			dropped := make(chan time.Time, 1)
			f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, LoadTime: time.Minute, Intercept: func(_ http.ResponseWriter, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				dropped <- time.Now()
				panic(http.ErrAbortHandler)
			}})
			d := f.start("d0", nil)
			f.ready(1)
			time.AfterFunc(200*time.Millisecond, func() { f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2}) })
			require.Equal(t, http.StatusBadGateway, f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m").StatusCode)
			named, _ := d.snapshots.Weights("m")
			require.Less(t, (<-dropped).Sub(named.NamedAt), limit, "the engine may still begin it")
		})
	}
}
