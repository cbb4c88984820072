package intake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (g *Gate) held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headBytes
}

func TestBodyOnKeptConnectionIsNoHead(t *testing.T) {
	g := &Gate{}
	address := serve(t, g)
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	status, _ := c.answer()
	require.Equal(t, http.StatusOK, status)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n", strings.Repeat("\n", 60<<10))
	time.Sleep(100 * time.Millisecond)
	require.Less(t, g.held(), int64(4<<10), "the body was counted as a head")
	c.send(strings.Repeat("\n", 4<<10), "\r\n0\r\n\r\n")
	status, body := c.answer()
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, 64<<10+2)
}
