package httpc

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that stays open although it brought the answer to another request, as a response without a body frees it for
// the next request before its caller has looked at it.
func TestRetiredConnectionIsClosedThoughAnotherRequestHasTakenIt(t *testing.T) {
	l := listen(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		refuseOnce(l)
	}()
	p := &Pool{}
	defer p.Close()
	request := func() *http.Request {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("x"))
		require.NoError(t, err)
		// Without it the transport doesn't send the request again on its own.
		req.GetBody = nil
		return req
	}
	first, err := p.DoHeld(request())
	require.NoError(t, err)
	defer first.Body.Close()
	second := make(chan error, 1)
	go func() {
		resp, secondErr := p.DoHeld(request())
		if secondErr == nil {
			_ = resp.Body.Close()
		}
		second <- secondErr
	}()
	time.Sleep(100 * time.Millisecond)
	Retire(first)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection of the retired response is still open")
	}
	require.NoError(t, l.Close())
	err = <-second
	var send *SendError
	require.ErrorAs(t, err, &send)
	require.True(t, send.NotSent, "the other request may have been sent on the retired connection")
}

// Guards against connections that are given up although their answers were believed.
func TestReleasedConnectionIsUsedAgain(t *testing.T) {
	var conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	p := &Pool{}
	defer p.Close()
	for range 10 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("x"))
		require.NoError(t, err)
		resp, err := p.DoHeld(req)
		require.NoError(t, err)
		Release(resp)
		require.NoError(t, resp.Body.Close())
	}
	require.EqualValues(t, 1, conns.Load())
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// refuseOnce answers the first request on a connection without a body, and works on what comes next until the connection is closed.
func refuseOnce(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	if _, err = http.ReadRequest(r); err != nil {
		return
	}
	fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	for err == nil {
		_, err = r.ReadByte()
	}
}
