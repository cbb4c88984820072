package entry

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// brokenAfter is the event after which the first upstream breaks its stream off, streamLength the number of events.
	brokenAfter  = 2
	streamLength = 6
	requestIDKey = "X-Gooseberryway-Attempt-Id"
	signatureKey = "X-Gooseberryway-Response-Signature"
)

// events returns the events from first to last, with lines that end with end.
func events(first, last int, end string) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d%sdata: piece %d%s%s", i, end, i, end, end)
	}
	return b.String()
}

// scriptedEngines are three engines that answer each attempt of a request with the next of its answers.
type scriptedEngines struct {
	f      *testFleet
	daemon *testDaemon

	mu       sync.Mutex
	requests map[string]*script
}

// script holds the answers to the attempts of a request, the last one for all further ones, and the Last-Event-Id of each attempt so
// far. Answers are raw bytes, with @id for the request's ID.
type script struct {
	answers []string
	lastIDs []string
}

func startScriptedEngines(t *testing.T) *scriptedEngines {
	t.Helper()
	e := &scriptedEngines{f: newTestFleet(t), requests: map[string]*script{}}
	e.f.retrySlack = 10_000
	e.f.configureRate(1, 100_000_000, "secret")
	for i := range 3 {
		e.f.startUpstream("llm", &standin.Upstream{ID: fmt.Sprint("e", i), Model: "m", Version: 1, Intercept: e.answer})
	}
	e.daemon = e.f.start("d1", nil)
	e.f.ready(3)
	return e
}

func (e *scriptedEngines) answer(w http.ResponseWriter, r *http.Request) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	id := r.Header.Get(requestIDKey)
	e.mu.Lock()
	s := e.requests[id]
	answer := s.answers[min(len(s.lastIDs), len(s.answers)-1)]
	s.lastIDs = append(s.lastIDs, r.Header.Get("Last-Event-Id"))
	e.mu.Unlock()
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "@id", id))
	if strings.HasSuffix(answer, "0\r\n\r\n") || strings.Contains(answer, "Content-Length: ") {
		// The framing, not the end of the connection, tells when an answer is over.
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// played is what the caller of a request got.
type played struct {
	status  int
	body    string
	cut     bool
	lastIDs []string
}

// play sends a request whose attempts get these answers.
func (e *scriptedEngines) play(path, id string, answers []string, headers ...string) played {
	e.mu.Lock()
	s := &script{answers: answers}
	e.requests[id] = s
	e.mu.Unlock()
	resp := e.f.call(e.daemon, path, id, "secret", "body of "+id, append(headers, modelHeader, "m")...)
	raw, err := io.ReadAll(resp.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	return played{status: resp.StatusCode, body: string(raw), cut: err != nil, lastIDs: s.lastIDs}
}

// brokenStream is an answer in chunks that ends without the last one.
func brokenStream(body string) string {
	return responseHead(http.StatusOK, "text/event-stream", "Transfer-Encoding: chunked") + chunk(body)
}

// responseHead returns the head of an answer up to and with the empty line.
func responseHead(status int, contentType string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: @id\r\n%s: sig\r\nContent-Type: %s\r\nConnection: close\r\n", status, http.StatusText(status), requestIDKey,
		signatureKey, contentType)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// framings are the ways in which an upstream may send a body.
var framings = map[string]func(status int, contentType, body string) string{
	"length": func(status int, contentType, body string) string {
		return responseHead(status, contentType, "Content-Length: "+strconv.Itoa(len(body))) + body
	},
	"chunks": func(status int, contentType, body string) string {
		out := responseHead(status, contentType, "Transfer-Encoding: chunked")
		if body != "" {
			out += chunk(body)
		}
		return out + "0\r\n\r\n"
	},
	"end of connection": func(status int, contentType, body string) string {
		return responseHead(status, contentType) + body
	},
}

// Guards against a response that ends as complete although the events after a break were dropped, as their framing or the ends of
// their lines were not those that the daemon looked for.
func TestRestOfResumedStreamIsForwardedHoweverItIsFramed(t *testing.T) {
	engines := startScriptedEngines(t)
	for name, frame := range framings {
		for lines, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
			t.Run(name+", "+lines, func(t *testing.T) {
				got := engines.play("/note/x", t.Name(), []string{
					brokenStream(events(1, brokenAfter, end) + "id: 3" + end + "da"),
					frame(200, "text/event-stream", events(brokenAfter+1, streamLength, end)),
				})
				require.Equal(t, played{
					status: http.StatusOK, body: events(1, streamLength, end), lastIDs: []string{"", strconv.Itoa(brokenAfter)},
				}, got)
			})
		}
	}
}

// Guards against a stream that is held back until its end as it comes with a length.
func TestStreamWithLengthIsForwardedAsItArrives(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	body, half := events(1, streamLength, "\n"), events(1, brokenAfter, "\n")
	goOn := make(chan struct{})
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, half)
		_ = http.NewResponseController(w).Flush()
		<-goOn
		_, _ = io.WriteString(w, body[len(half):])
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	resp := f.call(d, "/note/x", "r1", "secret", "p", modelHeader, "m")
	got := make([]byte, len(half))
	_, err := io.ReadFull(resp.Body, got)
	close(goOn)
	require.NoError(t, err)
	require.Equal(t, half, string(got))
	require.Equal(t, body[len(half):], text(t, resp))
}

// Guards against a response that shows an upstream's error, or events out of order, in the middle of a stream, or that ends as complete
// there: what doesn't go on with the stream is dropped and the response is cut.
func TestAnswerThatDoesNotGoOnWithStreamIsNotForwarded(t *testing.T) {
	const eventStream = "text/event-stream"
	engines := startScriptedEngines(t)
	errorResponse := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nout of memory\n\n"
	rest := events(brokenAfter+1, streamLength, "\n")
	large := strings.Repeat("x", 540<<10)
	rests := map[string]string{
		"without its request's ID":          strings.Replace(framings["length"](200, eventStream, rest), requestIDKey+": @id\r\n", "", 1),
		"empty, unframed":                   framings["end of connection"](200, eventStream, ""),
		"unavailable, not stated as unrun":  framings["length"](503, "text/plain", "busy"),
		"not run":                           responseHead(503, "text/plain", "X-Gooseberryway-Not-Executed: 1", "Content-Length: 4") + "busy",
		"large error":                       framings["length"](500, "text/plain", large),
		"no content":                        responseHead(204, eventStream),
		"encoded":                           strings.Replace(framings["chunks"](200, eventStream, rest), "Connection", "Content-Encoding: gzip\r\nConnection", 1),
		"broken off before the first event": brokenStream("id: 3\nda"),
	}
	for name, frame := range framings {
		rests["plain text, "+name] = frame(200, "text/plain", "out of memory\n\n")
		rests["JSON, "+name] = frame(200, "application/json", `{"error":"x"}`)
		rests["not found, "+name] = frame(404, "text/plain", "no such model\n\n")
		rests["failed, "+name] = frame(500, eventStream, rest)
		rests["partial content, "+name] = frame(206, eventStream, rest)
		rests["error response as a body, "+name] = frame(200, eventStream, errorResponse)
		rests["from the beginning, "+name] = frame(200, eventStream, events(1, streamLength, "\n"))
		rests["one event too early, "+name] = frame(200, eventStream, events(brokenAfter, streamLength, "\n"))
		rests["one event too late, "+name] = frame(200, eventStream, events(brokenAfter+2, streamLength, "\n"))
		rests["events without IDs, "+name] = frame(200, eventStream, "data: x\n\n")
		rests["byte order mark, "+name] = frame(200, eventStream, "\xef\xbb\xbf"+rest)
	}
	for name, answer := range rests {
		t.Run(name, func(t *testing.T) {
			got := engines.play("/note/x", t.Name(), []string{brokenStream(events(1, brokenAfter, "\n")), answer})
			require.Equal(t, events(1, brokenAfter, "\n"), got.body)
			require.True(t, got.cut, "the response looks complete")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, strconv.Itoa(brokenAfter), got.lastIDs[1])
		})
	}
}

// Guards against what else can go wrong at a break: events that come twice or are missing, and a stream that never began and can't be
// answered otherwise.
func TestStreamAfterBreak(t *testing.T) {
	const eventStream = "text/event-stream"
	engines := startScriptedEngines(t)
	whole := events(1, streamLength, "\n")
	rest := events(brokenAfter+1, streamLength, "\n")
	begin := brokenStream(events(1, brokenAfter, "\n"))
	spread := func(ids ...int) string {
		var b strings.Builder
		for _, id := range ids {
			b.WriteString(events(id, id, "\n"))
		}
		return b.String()
	}
	big := fmt.Sprintf("id: 3\ndata: %s\n\n", strings.Repeat("x", 30<<10)) + strings.Repeat(": keep-alive\n\n", 40<<10) + events(4, streamLength, "\n")
	for name, c := range map[string]struct {
		path    string
		answers []string
		headers []string
		want    played
	}{
		"nothing is left": {
			answers: []string{brokenStream(whole), framings["length"](200, eventStream, "")},
			want:    played{status: 200, body: whole, lastIDs: []string{"", "6"}},
		},
		"nothing is left, chunks": {
			answers: []string{brokenStream(whole), framings["chunks"](200, eventStream, "")},
			want:    played{status: 200, body: whole, lastIDs: []string{"", "6"}},
		},
		"rest above all buffers": {
			answers: []string{begin, framings["length"](200, eventStream, big)},
			want:    played{status: 200, body: events(1, brokenAfter, "\n") + big, lastIDs: []string{"", "2"}},
		},
		"comment before the rest": {
			answers: []string{begin, framings["length"](200, eventStream, ": resumed\n\nretry: 100\n\n"+rest)},
			want:    played{status: 200, body: events(1, brokenAfter, "\n") + ": resumed\n\nretry: 100\n\n" + rest, lastIDs: []string{"", "2"}},
		},
		"IDs with gaps": {
			answers: []string{brokenStream(spread(1, 4, 5)), framings["chunks"](200, eventStream, spread(8, 9))},
			want:    played{status: 200, body: spread(1, 4, 5, 8, 9), lastIDs: []string{"", "5"}},
		},
		"second break": {
			answers: []string{begin, brokenStream(events(3, 4, "\n") + "id: 5\n")},
			want:    played{status: 200, body: events(1, 4, "\n"), cut: true, lastIDs: []string{"", "2"}},
		},
		"first event half out": {
			answers: []string{brokenStream("id: 1\nda"), framings["length"](200, eventStream, whole)},
			want:    played{status: 200, body: whole, lastIDs: []string{"", ""}},
		},
		"never begun, then not found": {
			answers: []string{brokenStream("id: 1\nda"), framings["length"](404, "text/plain", "no such model")},
			want:    played{status: 404, body: "no such model", lastIDs: []string{"", ""}},
		},
		"events without IDs": {
			answers: []string{brokenStream("data: a\n\ndata: b\n\n"), framings["length"](200, eventStream, "data: a\n\ndata: b\n\ndata: c\n\n")},
			want:    played{status: 200, body: "data: a\n\ndata: b\n\n", cut: true, lastIDs: []string{""}},
		},
		"caller resumes and the upstream starts again": {
			answers: []string{framings["chunks"](200, eventStream, whole), framings["chunks"](200, eventStream, rest)},
			headers: []string{"Last-Event-Id", "2"},
			want:    played{status: 200, body: rest, lastIDs: []string{"2", "2"}},
		},
		"no resumable stream": {
			path: "/draft/x", answers: []string{brokenStream("id: 1\nda"), framings["length"](200, eventStream, whole)},
			want: played{status: 200, body: "id: 1\nda", cut: true, lastIDs: []string{""}},
		},
		"comments only, unframed": {
			answers: []string{framings["end of connection"](200, eventStream, ": keep-alive\n\n")},
			want:    played{status: 200, body: ": keep-alive\n\n: keep-alive\n\n", cut: true, lastIDs: []string{"", ""}},
		},
		"comments only after a break, unframed": {
			answers: []string{begin, framings["end of connection"](200, eventStream, ": keep-alive\n\n")},
			want:    played{status: 200, body: events(1, brokenAfter, "\n") + ": keep-alive\n\n", cut: true, lastIDs: []string{"", "2"}},
		},
		"media type with a parameter that can't be read": {
			answers: []string{
				strings.Replace(begin, eventStream, eventStream+"; charset", 1), framings["length"](200, "Text/Event-Stream ;x", rest),
			},
			want: played{status: 200, body: whole, lastIDs: []string{"", "2"}},
		},
		"JSON on the route of a stream": {
			answers: []string{framings["chunks"](200, "application/json", `{"a":1}`)},
			want:    played{status: 200, body: `{"a":1}`, lastIDs: []string{""}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, engines.play(cmp.Or(c.path, "/note/x"), t.Name(), c.answers, c.headers...))
		})
	}
}
