package logsvc_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
)

// FuzzAnswers gives the client arbitrary responses. Records that a read returns must have increasing offsets, and a
// successful append must have an offset. All other responses must become an *extern.LogError, and an invalid response
// with status 200 must not be reported as a refused append.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"offset":7,"first":1,"tail":8,"entries":[{"offset":7,"payload":"AA=="},{"offset":8}]}`))
	f.Add(200, []byte(`{"first":9,"tail":8,"entries":[{"offset":8},{"offset":7}]}`))
	f.Add(429, []byte(`{"kind":"refused","message":"too many"}`))
	f.Add(502, []byte(`<html>`))
	status, body := 0, []byte(nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	f.Cleanup(server.Close)
	c := &logsvc.Client{BaseURL: server.URL}
	f.Cleanup(func() { _ = c.Close() })
	f.Fuzz(func(t *testing.T, code int, raw []byte) {
		if code < 200 || code > 599 || code == http.StatusNoContent || code == http.StatusNotModified {
			return
		}
		status, body = code, raw
		offset, err := c.Append(t.Context(), extern.StreamControl, nil)
		if (err == nil) != (offset > 0) {
			t.Fatalf("offset %d with error %v", offset, err)
		}
		if err != nil && code == http.StatusOK && errorKind(t, err) != extern.LogUnknown {
			t.Fatalf("the kind of error for an invalid response with status 200 is wrong: %v", err)
		}
		const from = ident.Offset(3)
		batch, err := c.Read(t.Context(), extern.StreamControl, from, 10)
		if err != nil {
			errorKind(t, err)
			return
		}
		last := from - 1
		for _, e := range batch.Entries {
			if e.Offset <= last || e.Offset > batch.Tail {
				t.Fatalf("offset %d after %d, tail %d", e.Offset, last, batch.Tail)
			}
			last = e.Offset
		}
	})
}
