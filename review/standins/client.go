//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is what a caller sends.
type request struct {
	id, method, path, key, prefix, model string
	body                                 string
	deadline                             time.Duration
}

// answer is what a caller got.
type answer struct {
	status    int
	signature string
	body      string
	// whole says that the answer ended as a complete one.
	whole bool
	err   error
	took  time.Duration
}

// send sends a request on a new channel and reads the answer until it ends or the time limit has passed.
func (d *daemon) send(q request) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", d.callers)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Gooseberryway-Attempt-Id: %s\r\n", q.method, q.path, q.id)
	fmt.Fprintf(&b, "X-Gooseberryway-Deadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n", q.deadline.Milliseconds(), q.key)
	if q.model != "" {
		fmt.Fprintf(&b, "X-Gooseberryway-Model: %s\r\nX-Gooseberryway-Token-Counts: 800,80\r\nX-Gooseberryway-Prompt-Prefix: %s\r\n",
			q.model, q.prefix)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get("X-Gooseberryway-Response-Signature"), body: string(raw),
		whole: err == nil, err: err, took: time.Since(began),
	}
}
