package httpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
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

// Guards against heads that arrived whole but that net/http refuses, which count as the end of their server.
func TestRefusedHeadIsMalformed(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer string
		want   MalformedReason
		// cancels says that the request is called off before the head.
		cancels bool
	}{
		"two lengths":          {answer: line + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n", want: MalformedFraming},
		"sign in a length":     {answer: line + "Content-Length: +2\r\n\r\n", want: MalformedFraming},
		"coding before chunks": {answer: line + "Transfer-Encoding: gzip, chunked\r\n\r\n", want: MalformedFraming},
		"after interim ones":   {answer: "HTTP/1.1 103 X\r\n\r\n" + line + "Content-Length: +2\r\n\r\n", want: MalformedFraming},
		"too long":             {answer: line + "X: " + strings.Repeat("a", maxHeaderBytes) + "\r\n\r\n", want: MalformedLength},
		"too many interim":     {answer: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", maxHeaderBytes), want: MalformedLength},
		"cut":                  {answer: line + "Content-Length: +2\r\n"},
		"no answer":            {},
		"request ended":        {answer: line + "Content-Length: +2\r\n\r\n", cancels: true},
	} {
		for _, body := range []string{"x", strings.Repeat("x", 8<<20)} {
			t.Run(fmt.Sprintf("%s, body of %d bytes", name, len(body)), func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					nc, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer nc.Close()
					if c.cancels {
						cancel()
					}
					_, _ = io.WriteString(nc, c.answer)
				}))
				defer s.Close()
				p := &Pool{}
				defer p.Close()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, strings.NewReader(body))
				require.NoError(t, err)
				resp, err := p.Do(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				require.False(t, AsUpstreamError("e1", err).NotRun)
				malformed, ok := errors.AsType[*MalformedResponseError](err)
				require.Equal(t, c.want != "", ok, "%v", err)
				if ok {
					require.Equal(t, c.want, malformed.Reason)
				}
			})
		}
	}
}
