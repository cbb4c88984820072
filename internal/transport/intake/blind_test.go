package intake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

func (g *Gate) held() int64 {
	return int64(g.Account().Held(memory.Heads))
}

func (g *Gate) maxHeadBytes() int64 { return int64(g.Account().Budget(memory.Heads)) }

func (g *Gate) openConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
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

func TestPipelinedHeadsAreCounted(t *testing.T) {
	const lines = 900
	g := &Gate{}
	address := serve(t, g)
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + strings.Repeat("a:\r\n", lines) + "\r\nbo")
	status, _ := c.answer()
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return g.held() >= lines*lineBytes }, 5*time.Second, 10*time.Millisecond)
	c.send("dy")
	status, body := c.answer()
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "body")
	require.Eventually(t, func() bool { return g.held() < lines*lineBytes }, 5*time.Second, 10*time.Millisecond)
}

func TestPipelinedHeadsStayWithinMemory(t *testing.T) {
	const lines = 900
	g := &Gate{MemoryBytes: 16 << 20}
	address := serve(t, g)
	var last *client
	for range 40 {
		c := dial(t, address)
		last = c
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + strings.Repeat("a:\r\n", lines) + "\r\nbo")
		status, _ := c.answer()
		require.Equal(t, http.StatusOK, status)
	}
	status, body := last.answer()
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Empty(t, body)
	require.LessOrEqual(t, g.held(), g.maxHeadBytes())
	require.LessOrEqual(t, int64(g.openConns()), g.maxHeadBytes()/(lines*lineBytes)+1)
}
