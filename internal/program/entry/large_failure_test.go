package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against an error response that is cut at the size of the buffer and looks whole to the caller.
func TestLargeErrorResponseIsWhole(t *testing.T) {
	const size = 300 << 10
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	for _, id := range []string{"a1"} {
		f.startUpstream("app", &standin.Upstream{ID: id, Intercept: func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
			w.Header().Set("X-Gooseberryway-Response-Signature", "sig")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(strings.Repeat("x", size)))
			return true
		}})
	}
	d := f.start("d1", nil)
	f.ready(1)
	for i, path := range []string{"/lookup/x", "/order/x"} {
		resp := f.call(d, path, fmt.Sprint("r", i), "secret", "")
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.Len(t, text(t, resp), size)
	}
}
