package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a late second answer without an ID, such as an upstream's report, that is handed out as the answer to the next request on its
// connection.
func TestAnswerWithoutIDOnUsedConnectionIsNotBelieved(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	const report = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"running\":12}"
	answer := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: %s\r\nX-Gooseberryway-Response-Signature: s\r\nContent-Length: 4\r\n\r\nmine", id)
	}
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer c.Close()
		_, _ = io.WriteString(c, answer(r.Header.Get(requestIDKey)))
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return true
		}
		_, _ = io.Copy(io.Discard, next.Body)
		_, _ = io.WriteString(c, report+answer(next.Header.Get(requestIDKey)))
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	for i := range 4 {
		for _, path := range []string{"/order/x", "/lookup/x"} {
			resp := f.call(d, path, fmt.Sprint(path, i), "secret", fmt.Sprint(path, i))
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if resp.StatusCode == http.StatusOK {
				require.Equal(t, "mine", string(body))
				continue
			}
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		}
	}
}
