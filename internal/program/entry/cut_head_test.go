package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// cutUpstreams answer each attempt of a request with a part of its answer and close the connection, after a whole answer to a first
// request on it if the request asks for that.
type cutUpstreams struct {
	f      *testFleet
	daemon *testDaemon

	mu       sync.Mutex
	answers  map[string][]string
	attempts map[string]int
	// reused counts the answers on connections that had served another request.
	reused int
}

// warmUp begins the IDs of requests whose answers leave their connections open.
const warmUp = "warm-up-"

func startCutUpstreams(t *testing.T) *cutUpstreams {
	t.Helper()
	u := &cutUpstreams{f: newTestFleet(t), answers: map[string][]string{}, attempts: map[string]int{}}
	u.f.retrySlack = 1_000_000
	u.f.configureRate(1, 1_000_000_000, "secret")
	for i := range 2 {
		u.f.startUpstream("app", &standin.Upstream{ID: fmt.Sprint("a", i), Intercept: u.serve})
		u.f.startUpstream("llm", &standin.Upstream{ID: fmt.Sprint("e", i), Model: "m", Version: 1, Intercept: u.serve})
	}
	u.daemon = u.f.start("d1", nil)
	u.f.ready(4)
	return u
}

func (u *cutUpstreams) serve(w http.ResponseWriter, r *http.Request) bool {
	raw := &httpd.Raw{Answer: func(r *http.Request, reused bool) (string, bool) {
		id := r.Header.Get(requestIDKey)
		return u.nextAnswer(id, reused), strings.HasPrefix(id, warmUp)
	}}
	raw.ServeHTTP(w, r)
	return true
}

// nextAnswer returns the answer to the next attempt of a request; the last one goes for all further attempts.
func (u *cutUpstreams) nextAnswer(id string, reused bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reused {
		u.reused++
	}
	answers := u.answers[id]
	n := min(u.attempts[id], len(answers)-1)
	u.attempts[id]++
	return strings.ReplaceAll(answers[n], "@id", id)
}

// cutResult is what the caller of a request got, and how many attempts it took.
type cutResult struct {
	status    int
	body      string
	signature string
	cut       bool
	attempts  int
}

// send sends a request whose attempts get these answers.
func (u *cutUpstreams) send(path, id string, answers ...string) cutResult {
	u.mu.Lock()
	u.answers[id] = answers
	u.mu.Unlock()
	resp := u.f.call(u.daemon, path, id, "secret", "body of "+id, modelHeader, "m")
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	return cutResult{
		status: resp.StatusCode, body: string(raw), signature: resp.Header.Get(signatureKey), cut: err != nil, attempts: u.attempts[id],
	}
}

// wholeAnswers returns an answer of an upstream in each framing.
func wholeAnswers(contentType, body string) []httpd.RawResponse {
	return httpd.RawResponses("200 OK", body, requestIDKey+": @id", signatureKey+": sig", "Content-Type: "+contentType)
}

// Guards against a part of an answer that a caller takes for the whole, as its upstream has stopped in the middle of the head, of the
// interim answers before it, of a framed body or of the trailers.
func TestAnswerCutInItsHeadNeverLooksWhole(t *testing.T) {
	for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/note/x"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connections %v", path, kept), func(t *testing.T) {
				t.Parallel()
				u := startCutUpstreams(t)
				contentType, body := "text/plain", "an answer"
				if path == "/draft/x" || path == "/note/x" {
					contentType, body = "text/event-stream", events(1, 2, "\n")
				}
				answers := wholeAnswers(contentType, body)
				for _, a := range answers {
					for n, part := range a.Parts() {
						u.requireBroken(t, path, fmt.Sprint(a.Framing, n), body, answers[0].Text, part, kept)
					}
					id := a.Framing
					if a.IsFramed() {
						id = warmUp + id
					}
					whole := u.send(path, id, a.Text)
					require.Equal(t, cutResult{status: http.StatusOK, body: body, signature: "sig", attempts: 1}, whole, id)
				}
				if kept {
					require.Greater(t, u.reused, len(u.attempts)/4, "most answers came on new connections")
				}
			})
		}
	}
}

// requireBroken sends a request that gets part of an answer, on a connection that has brought another whole one if kept is set.
func (u *cutUpstreams) requireBroken(t *testing.T, path, id, body, whole, part string, kept bool) {
	t.Helper()
	if kept {
		require.Equal(t, http.StatusOK, u.send(path, warmUp+id, whole).status, id)
	}
	got := u.send(path, id, part)
	require.NotZero(t, got.attempts, "%s: no upstream got the request", id)
	if got.cut {
		// The head and the body went out as they came.
		require.Equal(t, http.StatusOK, got.status, id)
		require.True(t, strings.HasPrefix(body, got.body), id)
		return
	}
	require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", id, got.body)
	require.Empty(t, got.signature, id)
	require.JSONEq(t, `{"error":"upstreamBroke"}`, got.body, id)
}

// Guards against a stream that ends as whole although the upstream that was to send its rest has stopped in the middle of its head.
func TestRestOfStreamCutInItsHeadNeverLooksWhole(t *testing.T) {
	u := startCutUpstreams(t)
	begin := brokenStream(events(1, brokenAfter, "\n"))
	for _, a := range wholeAnswers("text/event-stream", events(brokenAfter+1, streamLength, "\n")) {
		for n, part := range a.Parts() {
			id := fmt.Sprint(a.Framing, n)
			got := u.send("/note/x", id, begin, part)
			require.True(t, got.cut, "%s: the response looks complete", id)
			require.Equal(t, http.StatusOK, got.status, id)
			require.True(t, strings.HasPrefix(events(1, streamLength, "\n"), got.body), id)
			require.True(t, strings.HasPrefix(got.body, events(1, brokenAfter, "\n")), id)
			require.Equal(t, 2, got.attempts, id)
		}
	}
}
