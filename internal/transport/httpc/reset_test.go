package httpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// earlyAnswerConn answers a request as soon as it begins, and reads as ended once the rest is being written. That write returns writeErr
// some time after the end was read, or when the connection is closed.
type earlyAnswerConn struct {
	net.Conn
	answer   io.Reader
	writeErr error
	// writeTime is how long the write of the rest takes.
	writeTime time.Duration

	writes                     int
	began, rest, ended, closed chan struct{}
	endOnce, closeOnce         sync.Once
}

func (c *earlyAnswerConn) Read(b []byte) (int, error) {
	select {
	case <-c.began:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.answer.Read(b)
	if err != nil {
		select {
		case <-c.rest:
		case <-c.closed:
			return 0, net.ErrClosed
		}
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *earlyAnswerConn) Write(b []byte) (int, error) {
	c.writes++
	switch c.writes {
	case 1:
		close(c.began)
		return len(b), nil
	case 2:
		close(c.rest)
	}
	select {
	case <-c.ended:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	select {
	case <-time.After(c.writeTime):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(b), nil
}

func (c *earlyAnswerConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// Guards against part of an answer that passes for the whole one, as the reset of its connection was reported to the write of the
// request, so that the read saw a plain end.
func TestResetReportedToWriteIsNoEndOfAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer    string
		writeErr  error
		writeTime time.Duration
		want      error
	}{
		"reset":                                {answer: head + "\r\npart", writeErr: syscall.ECONNRESET, writeTime: time.Second, want: syscall.ECONNRESET},
		"rest of the request is read":          {answer: head + "\r\npart", writeTime: time.Second},
		"length is known":                      {answer: head + "Content-Length: 4\r\n\r\npart", writeErr: syscall.ECONNRESET, writeTime: time.Second},
		"write doesn't end before the request": {answer: head + "\r\npart", writeTime: time.Hour, want: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
					return &earlyAnswerConn{
						answer: strings.NewReader(c.answer), writeErr: c.writeErr, writeTime: c.writeTime,
						began: make(chan struct{}), rest: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
					}, nil
				}}
				defer p.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream.example/", strings.NewReader(strings.Repeat("x", 1<<20)))
				require.NoError(t, err)
				resp, err := p.Do(req)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.Equal(t, "part", string(body))
				require.True(t, errors.Is(err, c.want), "%v", err)
				_ = resp.Body.Close()
			})
		})
	}
}
