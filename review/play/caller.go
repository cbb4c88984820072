//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// request is a caller's request.
type request struct {
	id, method, path string
	// prompt is the list of the prompt's parts; empty for none.
	prompt, body string
	deadline     time.Duration
	// key is the caller's; the tenant's first one if empty.
	key string
}

// answer is what the caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	whole   bool
	sentAt  time.Time
	endedAt time.Time
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5e00000000000000+lastID.Add(1)) }

// caller sends requests over channels that it keeps, as callers do.
type caller struct {
	record *record
	client http.Client
}

func newCaller(rec *record) *caller {
	return &caller{record: rec, client: http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends a request to a daemon and reads its answer.
func (c *caller) send(d *daemon, q *request) *answer {
	a := &answer{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.callers+q.path, body)
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("X-Gooseberryway-Attempt-Id", q.id)
	req.Header.Set("X-Gooseberryway-Deadline-Milliseconds", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+cmp.Or(q.key, key))
	if q.prompt != "" {
		req.Header.Set("X-Gooseberryway-Model", "m0")
		req.Header.Set("X-Gooseberryway-Token-Counts", tokenCounts(q.prompt))
		req.Header.Set("X-Gooseberryway-Prompt-Prefix", q.prompt)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.header, a.body, a.whole = resp.StatusCode, resp.Header, string(raw), readErr == nil
	}
	a.endedAt = time.Now()
	c.record.logf("request %s by %s %s%s: status %d whole %v after %d ms leaving %q", q.id, d.name, q.path, note(q), a.status, a.whole,
		a.endedAt.Sub(a.sentAt).Milliseconds(), a.header.Get("Server-Leaving"))
	return a
}

// tokenCounts returns the number of tokens of a prompt and the largest number of tokens of its answer.
func tokenCounts(prompt string) string {
	total := 0
	for part := range strings.SplitSeq(prompt, ",") {
		_, size, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(size)
		total += n
	}
	return fmt.Sprintf("%d,40", total)
}

func note(q *request) string {
	if q.prompt == "" {
		return ""
	}
	return " prompt " + q.prompt
}
