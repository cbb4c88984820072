package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 3 << 20

// answerEarly answers an upload at once with a body that ends with its connection. It then resets the connection, or reads on and closes it.
func answerEarly(body string, reset bool) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer c.Close()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nConnection: close\r\n\r\n", requestIDKey, r.Header.Get(requestIDKey), signatureKey)
		_, _ = io.WriteString(c, head+body)
		tcp, ok := c.(*net.TCPConn)
		if ok && reset {
			_ = tcp.SetLinger(0)
			return true
		}
		if ok {
			_ = tcp.CloseWrite()
			_, _ = io.Copy(io.Discard, bufio.NewReader(buffered))
		}
		return true
	}
}

// Guards against part of an answer that callers take for the whole one, as its upstream reset the connection while the upload was
// written, and against whole answers that are taken for cut as the upload went on.
func TestAnswerResetDuringUploadNeverLooksWhole(t *testing.T) {
	const tries, parallel = 100, 4
	body := strings.Repeat("x", uploadBytes)
	event := "id: 1\ndata: a\n\n"
	for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/note/x"} {
		for name, reset := range map[string]bool{"reset": true, "read on": false} {
			t.Run(path+" "+name, func(t *testing.T) {
				f := newTestFleet(t)
				f.retrySlack = 1_000_000
				f.configureRate(1, 1_000_000_000, "secret")
				for i := range 2 {
					f.startUpstream("app", &standin.Upstream{ID: fmt.Sprint("a", i), Intercept: answerEarly(event, reset)})
					f.startUpstream("llm", &standin.Upstream{ID: fmt.Sprint("e", i), Model: "m", Version: 1, Intercept: answerEarly(event, reset)})
				}
				d := f.start("d1", nil)
				f.ready(4)
				var whole atomic.Int64
				var wg sync.WaitGroup
				for i := range parallel {
					wg.Go(func() {
						for n := range tries / parallel {
							id := fmt.Sprint(path, i, "-", n)
							resp, err := http.DefaultClient.Do(f.request(t.Context(), d, path, id, "secret", id+body, modelHeader, "m"))
							if err != nil {
								continue
							}
							if got, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK && string(got) == event {
								whole.Add(1)
							}
							_ = resp.Body.Close()
						}
					})
				}
				wg.Wait()
				if reset {
					require.Zero(t, whole.Load(), "parts that look whole")
				} else {
					require.EqualValues(t, tries, whole.Load(), "whole answers that arrive")
				}
			})
		}
	}
}
