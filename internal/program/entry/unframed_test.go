package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// unframedEngine answers with a body that has neither a length nor chunks and ends with its connection.
func unframedEngine(id, body string) *standin.Upstream {
	return &standin.Upstream{ID: id, Model: "m", Version: 1, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Gooseberryway-Attempt-Id: %s\r\n"+
			"X-Gooseberryway-Response-Signature: s\r\nConnection: close\r\n\r\n%s", r.Header.Get("X-Gooseberryway-Attempt-Id"), body)
		return true
	}}
}

// Guards against a stream that looks complete to callers although its upstream broke it off inside an event.
func TestUnframedStreamThatEndsInsideEventIsBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		whole      bool
	}{
		{"after an event", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", http.StatusOK, true},
		{"after an event with blank lines behind it", "id: 1\ndata: a\n\n\n", http.StatusOK, true},
		{"inside a field", "id: 1\ndata: a\n\nid: 2\nda", http.StatusOK, false},
		{"before the blank line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", http.StatusOK, false},
		{"inside the first event", "id: 1\n", http.StatusOK, false},
		// Nothing of the answer is out, so that the caller gets a failure with a reason.
		{"before the first event", "", http.StatusBadGateway, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			f.startUpstream("llm", unframedEngine("e1", c.body))
			d := f.start("d1", nil)
			f.ready(1)
			resp := f.call(d, "/draft/x", "r1", "secret", "", "X-Gooseberryway-Model", "m")
			require.Equal(t, c.status, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			if !c.whole {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			if c.status == http.StatusOK {
				require.Equal(t, c.body, string(body))
				return
			}
			require.Empty(t, resp.Header.Get("X-Gooseberryway-Response-Signature"))
			require.JSONEq(t, `{"error":"upstreamBroke"}`, string(body))
		})
	}
}
