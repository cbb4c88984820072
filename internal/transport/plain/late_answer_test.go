package plain_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against an earlier answer, sent once more on a kept connection, that is taken for the answer to a request that runs, and against a
// service that works on while that request goes on elsewhere.
func TestEarlierAnswerSentAgainIsNotBelieved(t *testing.T) {
	const (
		rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 0\r\n"
		answer    = "HTTP/1.1 204 No Content\r\nX-Request-Id: r1\r\n\r\n"
		ofFirst   = "X-Request-Id: r1\r\n\r\n"
	)
	for name, c := range map[string]struct {
		second       ident.RequestID
		first, again string
	}{
		"rejection with the same id": {"r1", rejection + ofFirst, rejection + ofFirst},
		"rejection of another":       {"r2", rejection + ofFirst, rejection + ofFirst},
		"rejection without an id":    {"r2", rejection + ofFirst, rejection + "\r\n"},
		"answer to another":          {"r2", answer, answer},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			ran, closed := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, acceptErr := l.Accept()
				if acceptErr != nil {
					return
				}
				defer conn.Close()
				r := bufio.NewReader(conn)
				for _, text := range []string{c.first, c.again} {
					req, readErr := http.ReadRequest(r)
					if readErr != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, text)
				}
				close(ran)
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				_, readErr := r.ReadByte()
				closed <- readErr
			}()
			client := startClient(t)
			picker := func() *sequentialPicker { return &sequentialPicker{urls: []string{"http://" + l.Addr().String()}} }
			resp, err := client.Do(t.Context(), newRequest("x"), picker())
			if err == nil {
				require.NoError(t, resp.Body.Close())
			}
			second := newRequest("x")
			second.ID = c.second
			resp, err = client.Do(t.Context(), second, picker())
			<-ran
			if err == nil {
				require.NoError(t, resp.Body.Close())
			}
			failure, ok := errors.AsType[*extern.UpstreamError](err)
			require.True(t, ok, "the answer is believed")
			require.False(t, failure.NotRun, "it runs")
			require.ErrorIs(t, <-closed, io.EOF, "the service works on")
		})
	}
}
