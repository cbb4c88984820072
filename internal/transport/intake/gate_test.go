package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

const testHeadBytes = 64 << 10

// serve starts a server behind a gate that returns each request's number of fields and its body.
func serve(tb testing.TB, g *Gate) (address string) {
	tb.Helper()
	server := &http.Server{
		MaxHeaderBytes: testHeadBytes, ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%d %s", len(r.Header), body)
		}),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(tb, err)
	if g != nil {
		l = g.Guard(server, l, "test")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	tb.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l.Addr().String()
}

// client is a connection to a server under test.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{t: t, Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(parts ...string) {
	for _, part := range parts {
		_, err := c.Write([]byte(part))
		require.NoError(c.t, err)
		time.Sleep(5 * time.Millisecond)
	}
}

// answer returns the status and the body of the next response.
func (c *client) answer() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode, string(body)
}

// fatHead returns a head of the given size with fields of four bytes, without its end.
func fatHead(size int, fields string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + strings.Repeat("a:\r\n", size/4)
}

func TestRequestsAreServedHoweverTheyArrive(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n"
	for name, parts := range map[string][]string{
		"at once":                          {head + "Content-Length: 4\r\n\r\nbody"},
		"head and body apart":              {head + "Content-Length: 4\r\n\r\n", "bo", "dy"},
		"head in parts":                    {"PO", "ST / HTTP/1.1\r\nHost: h\r\nA: b\r", "\nContent-Length: 4\r\n", "\r", "\nbody"},
		"chunked":                          {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"},
		"large head":                       {"POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 10_000) + "Content-Length: 4\r\n\r\nbody"},
		"fields between which packets end": {head, "B: c\r\nContent-Length: 4", "\r\n\r\n", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, serve(t, &Gate{}))
			for i := range 3 {
				if i > 0 {
					c.send("\r\n") // net/http allows it after a POST.
				}
				c.send(parts...)
				status, body := c.answer()
				require.Equal(t, http.StatusOK, status)
				require.Contains(t, body, " body")
			}
		})
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	c := dial(t, serve(t, &Gate{}))
	one := func(i int) string {
		if i%2 == 0 {
			return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nb%02d\r\n0\r\n\r\n", i)
		}
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nb%02d", i)
	}
	all := ""
	for i := range 40 {
		all += one(i)
	}
	for i := 0; i < len(all); i += 37 {
		c.send(all[i:min(i+37, len(all))])
	}
	for i := range 40 {
		status, body := c.answer()
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, fmt.Sprintf("b%02d", i))
	}
}

func TestHeadBeyondLimitIsRefusedWithoutParsing(t *testing.T) {
	c := dial(t, serve(t, &Gate{}))
	c.send(fatHead(testHeadBytes+2*slopBytes, ""))
	status, _ := c.answer()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

func TestLargeHeadsLeaveRoomForOthers(t *testing.T) {
	g := &Gate{MemoryBytes: 40 << 20}
	address := serve(t, g)
	large := fatHead(16<<10, "Content-Length: 4\r\n") + "\r\n"
	holder := dial(t, address)
	holder.send(large, "bo")
	second := dial(t, address)
	second.send(large, "bo")
	refused := dial(t, address)
	refused.send(large)
	status, _ := refused.answer()
	require.Equal(t, http.StatusServiceUnavailable, status)
	ordinary := dial(t, address)
	ordinary.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ = ordinary.answer()
	require.Equal(t, http.StatusOK, status)
	holder.send("dy")
	status, _ = holder.answer()
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		again := dial(t, address)
		again.send(large, "body")
		s, _ := again.answer()
		return s == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond, "the memory was not given back")
}

func TestNewcomerReplacesConnectionThatHoldsMost(t *testing.T) {
	g := &Gate{Descriptors: reservedDescriptors + descriptorsPerConn*minConns}
	address := serve(t, g)
	worst := dial(t, address)
	worst.send(fatHead(8<<10, ""))
	var others []*client
	for range minConns + 1 {
		c := dial(t, address)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := c.answer()
		require.Equal(t, http.StatusOK, status)
		others = append(others, c)
	}
	_ = worst.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := worst.r.ReadByte()
	require.Error(t, err)
	last := others[len(others)-1]
	last.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ := last.answer()
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, g.openConns(), minConns)
}

func TestClosedConnectionsFreeTheirRoom(t *testing.T) {
	g := &Gate{}
	address := serve(t, g)
	for i := range 20 {
		c := dial(t, address)
		c.send(fatHead(1<<10*(i%3+1), ""))
		_ = c.Close()
	}
	require.Eventually(t, func() bool {
		a := g.Account()
		return g.openConns() == 0 && a.Held(memory.Heads) == 0 && a.Held(memory.Connections) == 0
	}, 5*time.Second, 10*time.Millisecond)
}

// BenchmarkRequest shows what the gate adds to a request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for name, g := range map[string]*Gate{"with": {MemoryBytes: 112e6, Descriptors: 4100}, "without": nil} {
		b.Run(name, func(b *testing.B) {
			address := serve(b, g)
			c, err := net.Dial("tcp4", address)
			require.NoError(b, err)
			defer func() { _ = c.Close() }()
			request := []byte("POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Name: some value\r\n", 12) + "Content-Length: 4\r\n\r\nbody")
			answer := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = c.Write(request)
				n, _ := c.Read(answer)
				if !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 200")) {
					b.Fatal(string(answer[:n]))
				}
			}
		})
	}
}
