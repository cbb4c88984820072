package httpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// TestNotSentIsTrue cancels requests at random times between 0 and 300 µs. A request that is reported as not sent must not
// arrive at the server, then or later, because it may be sent again elsewhere.
func TestNotSentIsTrue(t *testing.T) {
	var arrived sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived.Store(r.URL.Path, true)
	}))
	p := &Pool{}
	var notSent []string
	for i := range 2000 {
		path := fmt.Sprintf("/%d", i)
		ctx, cancel := context.WithCancel(t.Context())
		timer := time.AfterFunc(time.Duration(rand.IntN(300))*time.Microsecond, cancel)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("body"))
		require.NoError(t, err)
		resp, err := p.Do(req)
		var send *SendError
		if errors.As(err, &send) && send.NotSent {
			notSent = append(notSent, path)
		}
		if err == nil {
			require.NoError(t, resp.Body.Close())
		}
		timer.Stop()
		cancel()
	}
	require.NoError(t, p.Close())
	server.Close()
	require.NotEmpty(t, notSent)
	for _, path := range notSent {
		_, seen := arrived.Load(path)
		require.False(t, seen, path)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	p := &Pool{}
	// A port below the ephemeral range, so that no other process listens on it by chance.
	const closedPortURL = "http://127.0.0.1:1"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, closedPortURL, strings.NewReader("x"))
	require.NoError(t, err)
	_, err = p.Do(req)
	var send *SendError
	require.ErrorAs(t, err, &send)
	require.True(t, send.NotSent)
	up := AsUpstreamError("e1", err)
	require.Equal(t, extern.UpstreamUnreachable, up.Kind)
	require.True(t, up.NotRun)
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	server := httptest.NewServer(http.RedirectHandler("http://192.0.2.1/", http.StatusFound))
	defer server.Close()
	p := &Pool{}
	defer p.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	resp, err := p.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusFound, resp.StatusCode)
}

func TestStatusErrorKind(t *testing.T) {
	for status, want := range map[int]extern.UpstreamErrorKind{
		400: extern.UpstreamRejected, 404: extern.UpstreamRejected, 408: extern.UpstreamTimeout,
		429: extern.UpstreamOverloaded, 500: extern.UpstreamBroken, 502: extern.UpstreamBroken,
		503: extern.UpstreamOverloaded, 504: extern.UpstreamTimeout,
	} {
		require.Equal(t, want, StatusErrorKind(status), "%d", status)
	}
}

// A write that starts after seal has returned true would send a request that was reported as not sent.
func TestSealedConnRejectsWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go func() { _, _ = remote.Read(make([]byte, 8)) }()
	c := &conn{Conn: local}
	require.True(t, c.seal(nil))
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)

	used := &conn{Conn: local}
	_, err = used.Write([]byte("x"))
	require.NoError(t, err)
	require.False(t, used.seal(nil))
}

// Over TLS the handshake writes bytes before the request. A failed handshake must count as not sent, a connection closed by
// the server after the request as sent.
func TestNotSentOverTLS(t *testing.T) {
	var abort atomic.Bool
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	p := &Pool{TLS: &tls.Config{RootCAs: roots}}
	defer p.Close()
	post := func(p *Pool) error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("x"))
		require.NoError(t, err)
		resp, err := p.Do(req)
		if err == nil {
			require.NoError(t, resp.Body.Close())
		}
		return err
	}
	require.NoError(t, post(p))
	var send *SendError
	withoutCA := &Pool{}
	defer withoutCA.Close()
	require.ErrorAs(t, post(withoutCA), &send, "the certificate is not trusted")
	require.True(t, send.NotSent)
	abort.Store(true)
	require.ErrorAs(t, post(p), &send)
	require.False(t, send.NotSent)
	server.Close()
	require.ErrorAs(t, post(p), &send)
	require.True(t, send.NotSent)
}

func TestURLCredentialsAreSentAsBasicAuth(t *testing.T) {
	type credentials struct{ user, password string }
	got := make(chan credentials, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		user, password, _ := r.BasicAuth()
		got <- credentials{user, password}
	}))
	defer server.Close()
	p := &Pool{}
	defer p.Close()
	target := strings.Replace(server.URL, "http://", "http://router:secret@", 1)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target, http.NoBody)
	require.NoError(t, err)
	resp, err := p.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, credentials{"router", "secret"}, <-got)
}

func TestDialFieldIsBoundedByDialTimeout(t *testing.T) {
	p := &Pool{DialTimeout: 50 * time.Millisecond, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream.example/", http.NoBody)
	require.NoError(t, err)
	_, err = p.Do(req)
	var send *SendError
	require.ErrorAs(t, err, &send)
	require.True(t, send.NotSent)
	require.True(t, IsTimeout(err))
}
