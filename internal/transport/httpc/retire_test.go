package httpc

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
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
		return req
	}
	first, err := p.Do(request())
	require.NoError(t, err)
	defer first.Body.Close()
	go func() {
		if resp, err := p.Do(request()); err == nil {
			_ = resp.Body.Close()
		}
	}()
	time.Sleep(100 * time.Millisecond)
	Retire(first)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection of the retired response is still open")
	}
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
