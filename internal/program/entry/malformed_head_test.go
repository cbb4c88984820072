package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedHeads are heads that are no answer in HTTP/1.1, before the body "ab" and what would follow it. @head stands for the fields of a
// sound head.
var malformedHeads = map[string]string{
	"blank in a name":               "HTTP/1.1 200 OK\r\n@headX Foo: 1\r\nContent-Length: 2\r\n\r\n",
	"control byte in a name":        "HTTP/1.1 200 OK\r\n@headX\x01Foo: 1\r\nContent-Length: 2\r\n\r\n",
	"blank before the colon":        "HTTP/1.1 200 OK\r\n@headContent-Length : 2\r\n\r\n",
	"tab before the colon":          "HTTP/1.1 200 OK\r\n@headContent-Length\t: 2\r\n\r\n",
	"blank before colon of framing": "HTTP/1.1 200 OK\r\n@headTransfer-Encoding : chunked\r\n\r\n",
	"no colon":                      "HTTP/1.1 200 OK\r\n@headX-Foo\r\nContent-Length: 2\r\n\r\n",
	"empty name":                    "HTTP/1.1 200 OK\r\n@head: 1\r\nContent-Length: 2\r\n\r\n",
	"folded line":                   "HTTP/1.1 200 OK\r\n@head Content-Length: 2\r\n\r\n",
	"folded line with a tab":        "HTTP/1.1 200 OK\r\n@head\tContent-Length: 2\r\n\r\n",
	"folded first line":             "HTTP/1.1 200 OK\r\n X-Foo: 1\r\n@headContent-Length: 2\r\n\r\n",
	"control byte in a value":       "HTTP/1.1 200 OK\r\n@headX-Foo: a\x01b\r\nContent-Length: 2\r\n\r\n",
	"bare CR in a value":            "HTTP/1.1 200 OK\r\n@headX-Foo: a\rb\r\nContent-Length: 2\r\n\r\n",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\n@headTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"cut chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\n@headTransfer-Encoding: chunked\r\n\r\n9\r\n",
	"HTTP/2.0":                      "HTTP/2.0 200 OK\r\n@headContent-Length: 2\r\n\r\n",
	"HTTP/1.2":                      "HTTP/1.2 200 OK\r\n@headContent-Length: 2\r\n\r\n",
	"status 000":                    "HTTP/1.1 000 None\r\n@headContent-Length: 2\r\n\r\n",
	"status 600":                    "HTTP/1.1 600 None\r\n@headContent-Length: 2\r\n\r\n",
	"status 999":                    "HTTP/1.1 999 None\r\n@headContent-Length: 2\r\n\r\n",
	"blanks before the status":      "HTTP/1.1   200 OK\r\n@headContent-Length: 2\r\n\r\n",
	"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\n@headContent-Length: 2\r\n\r\n",
	"interim answer":                "HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\nHTTP/1.1 200 OK\r\n@headContent-Length: 2\r\n\r\n",
	"two lengths":                   "HTTP/1.1 200 OK\r\n@headContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"sign in a length":              "HTTP/1.1 200 OK\r\n@headContent-Length: +2\r\n\r\n",
	"coding before chunks":          "HTTP/1.1 200 OK\r\n@headTransfer-Encoding: gzip, chunked\r\n\r\n",
	"head of 65 KiB":                "HTTP/1.1 200 OK\r\n@headX-Foo: " + strings.Repeat("a", 65<<10) + "\r\nContent-Length: 2\r\n\r\n",
	"refusal":                       "HTTP/1.1 503 Service Unavailable\r\n@headX-Gooseberryway-Not-Executed: 1\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\n",
	"refusal, wrong upstream":       "HTTP/1.1 421 Misdirected Request\r\n@headX Foo: 1\r\nContent-Length: 2\r\n\r\n",
}

// Guards against bytes of a worker that are no answer in HTTP/1.1 but reach callers as one, with a body that isn't the worker's, or as
// the promise that a request has not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const fields = requestIDKey + ": @id\r\n" + signatureKey + ": sig\r\n"
	u := startCutUpstreams(t)
	for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/note/x"} {
		for name, head := range malformedHeads {
			want := cutResult{status: http.StatusBadGateway, body: `{"error":"upstreamBroke"}`, attempts: 1}
			if path == "/lookup/x" || path == "/note/x" {
				want.attempts = 2
			}
			got := u.send(path, path+name, strings.ReplaceAll(head, "@head", fields)+"abHTTP/1.1 200 OK\r\n\r\n")
			got.body = strings.TrimSpace(got.body)
			require.Equal(t, want, got, "%s, %s", path, name)
		}
	}
}

// Guards against sound requests that are quarantined as if they had crashed upstreams, which are alive and answer them with malformed heads.
func TestMalformedHeadIsNoCrash(t *testing.T) {
	for _, name := range []string{"blank in a name", "two lengths", "sign in a length", "coding before chunks", "head of 65 KiB"} {
		t.Run(name, func(t *testing.T) {
			u := startCutUpstreams(t)
			const fields = requestIDKey + ": @id\r\n" + signatureKey + ": sig\r\n"
			malformed := strings.ReplaceAll(malformedHeads[name], "@head", fields) + "ab"
			for n := range 40 {
				u.mu.Lock()
				id := fmt.Sprint("r", n)
				u.answers[id] = []string{malformed}
				u.mu.Unlock()
				resp := u.f.call(u.daemon, "/lookup/x", id, "secret", "the same body")
				require.JSONEq(t, `{"error":"upstreamBroke"}`, bodyOf(resp), "request %d", n)
			}
		})
	}
}

// Guards against successes that lack their worker's signature, also where they would go on with a stream.
func TestSuccessWithoutSignatureIsNotForwarded(t *testing.T) {
	u := startCutUpstreams(t)
	unsigned := func(s string) string { return strings.Replace(s, signatureKey+": sig\r\n", "", 1) }
	for name, frame := range framings {
		for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/note/x"} {
			for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusNoContent} {
				if status == http.StatusNoContent && name == "chunks" {
					continue
				}
				body := events(1, streamLength, "\n")
				if status == http.StatusNoContent {
					body = ""
				}
				whole := frame(status, "text/event-stream", body)
				id := fmt.Sprint(path, name, status)
				got := u.send(path, id, unsigned(whole))
				require.Equal(t, http.StatusBadGateway, got.status, id)
				if path == "/lookup/x" || path == "/note/x" {
					got = u.send(path, id+" again", unsigned(whole), whole)
					require.Equal(t, cutResult{status: status, body: body, signature: "sig", attempts: 2}, got, id)
				}
			}
		}
		rest := frame(http.StatusOK, "text/event-stream", events(brokenAfter+1, streamLength, "\n"))
		got := u.send("/note/x", "rest"+name, brokenStream(events(1, brokenAfter, "\n")), unsigned(rest))
		require.True(t, got.cut, name)
	}
}
