package httpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a malformed head that counts as an answer, as a crash or as the proof that a request was not sent.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n")
	}
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			s := start(http.HandlerFunc(answer))
			defer s.Close()
			p := &Pool{}
			if s.Certificate() != nil {
				p.TLS = &tls.Config{RootCAs: x509.NewCertPool()}
				p.TLS.RootCAs.AddCert(s.Certificate())
			}
			defer p.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("x"))
			require.NoError(t, err)
			req.GetBody = nil
			_, err = p.Do(req)
			var malformed *MalformedResponseError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, MalformedName, malformed.Reason)
			require.True(t, IsNoResponse(err))
			require.False(t, AsUpstreamError("e1", err).NotRun)
		})
	}
}

// Guards against what follows an answer, and came with it, that is taken for the answer to the next request on the connection.
func TestResponseBeforeItsRequestIsNotBelieved(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			r := bufio.NewReader(remote)
			for text := late + late; ; text = strings.Replace(late, "late", "mine", 1) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = fmt.Fprint(remote, text)
			}
		}()
		return local, nil
	}}
	defer p.Close()
	do := func(trace *httptrace.ClientTrace) (string, error) {
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodDelete, "http://upstream.example/", http.NoBody)
		require.NoError(t, err)
		resp, err := p.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	var second string
	ended, written := make(chan error, 1), make(chan struct{})
	// The transport looks for what follows the answer only after the next request was written.
	_, err := do(&httptrace.ClientTrace{PutIdleConn: func(error) {
		go func() {
			var err error
			second, err = do(&httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(written) }})
			ended <- err
		}()
		<-written
	}})
	require.NoError(t, err)
	var unasked *UnaskedError
	require.ErrorAs(t, <-ended, &unasked, "%q", second)
}
