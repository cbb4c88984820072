package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against upstreams that run what no caller sent, as the daemon reads bytes leniently that are no request in HTTP/1.1.
func TestOddBytesOfCallersAreNoRequest(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	var mu sync.Mutex
	var runs []string
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, fmt.Sprintf("%s %s %s %q", r.Header.Get(requestIDKey), r.Method, r.RequestURI, body))
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig")
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	const fields = "Host: h.example\r\n" + requestIDKey + ": r1\r\nAuthorization: Bearer secret\r\n"
	const smuggled = "POST /order/smuggled HTTP/1.1\r\nHost: h.example\r\n" + requestIDKey + ": r2\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	whole := `r1 POST /order/x ""`
	asBody := fmt.Sprintf("r1 POST /order/x %q", smuggled)
	for name, c := range map[string]struct {
		bytes string
		runs  []string
	}{
		"blank before the colon":           {"POST /order/x HTTP/1.1\r\n" + fields + "Content-Length : 5\r\n\r\n" + smuggled, nil},
		"blank before the colon of chunks": {"POST /order/x HTTP/1.1\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked, nil},
		"folded first line":                {"POST /order/x HTTP/1.1\r\n Content-Length: 5\r\n" + fields + "\r\n", nil},
		"control byte in a name":           {"POST /order/x HTTP/1.1\r\n" + fields + "X\x01Y: 1\r\nContent-Length: 0\r\n\r\n", nil},
		"control byte in a value":          {"POST /order/x HTTP/1.1\r\n" + fields + "X: \x01\r\nContent-Length: 0\r\n\r\n", nil},
		"two lengths":                      {"POST /order/x HTTP/1.1\r\n" + fields + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, nil},
		"signed length":                    {"POST /order/x HTTP/1.1\r\n" + fields + "Content-Length: +0\r\n\r\n" + smuggled, nil},
		"unknown coding":                   {"POST /order/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked, nil},
		"bare LF in a chunk":               {"POST /order/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\n\r\n" + smuggled, nil},
		"cut body":                         {"POST /order/x HTTP/1.1\r\n" + fields + "Content-Length: 5\r\n\r\nab", nil},
		"cut chunks":                       {"POST /order/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", nil},
		"chunks in HTTP/1.0":               {"POST /order/x HTTP/1.0\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked, nil},
		"kept chunks in HTTP/1.0":          {"POST /order/x HTTP/1.0\r\nConnection: keep-alive\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + smuggled, nil},
		"HTTP/1.0 with a length and chunks": {
			"POST /order/x HTTP/1.0\r\n" + fields + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, nil,
		},
		"chunk extension": {
			"POST /order/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + strings.Replace(chunked, "\r\n", ";a=\"b\"\r\n", 1), []string{asBody},
		},
		"length and chunks": {"POST /order/x HTTP/1.1\r\n" + fields + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, []string{asBody}},
		"absolute target":   {"POST http://h.example/order/x HTTP/1.1\r\n" + fields + "Content-Length: 0\r\n\r\n", []string{whole}},
	} {
		t.Run(name, func(t *testing.T) {
			mu.Lock()
			runs = nil
			mu.Unlock()
			conn, err := net.Dial("tcp4", d.Settings.Listen.Callers)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.bytes)
			require.NoError(t, err)
			if tcp, ok := conn.(*net.TCPConn); ok && strings.HasPrefix(name, "cut") {
				require.NoError(t, tcp.CloseWrite())
			}
			// What is taken for another request would be run in this time.
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				defer resp.Body.Close()
				require.Equal(t, c.runs != nil, resp.StatusCode == http.StatusOK, "%d", resp.StatusCode)
			}
			_, _ = io.Copy(io.Discard, conn)
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, c.runs, runs)
		})
	}
}
