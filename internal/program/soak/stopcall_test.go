package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// callerSlack is how long callers wait beyond their deadline.
const callerSlack = 500 * time.Millisecond

// keptConn is a caller's connection to a daemon. reused says that it has served a request.
type keptConn struct {
	net.Conn
	r      *bufio.Reader
	reused bool
}

// call is a request as its caller saw it.
type call struct {
	id, kind string
	script   standin.Script
	deadline time.Duration
	// upload is the size of the body in bytes; 0 means a short one.
	upload int

	daemon *process
	reused bool
	// sentAt is when the last byte was sent; zero if it was not.
	startedAt, sentAt, endedAt time.Time
	status                     int
	signature, answeredID      string
	// complete says that the answer was read to its end, err is why not. other is what differs from the upstream's body.
	complete bool
	err      error
	other    string
	// junk says that bytes came that are no answer.
	junk bool
}

// runStopCaller sends requests until ctx ends, to one daemon as long as it can be reached, or to those of the directory.
func (s *stopRun) runStopCaller(ctx context.Context, home *process, usesDirectory bool, rng *rand.Rand) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		p := home
		if usesDirectory {
			p = s.pickFromDirectory(client, s.cluster, p, rng)
		}
		drawn := *s.newCall(rng)
		for try := range 1 + maxCallerRetries {
			q := drawn
			q.id, q.daemon = fmt.Sprintf("%d-%x-%d-%d", s.seed, rng.Uint32(), n, try), p
			c := s.connect(p, try > 0, rng)
			if c == nil {
				p = s.processes[rng.IntN(len(s.processes))]
				scope.Sleep(ctx, 20*time.Millisecond)
				continue
			}
			retryAfter := s.exchange(c, &q)
			s.stopMu.Lock()
			s.calls = append(s.calls, &q)
			s.stopMu.Unlock()
			s.recordCall(q.kind, q.id, q.status)
			if q.complete && q.status == http.StatusOK {
				s.served.Add(1)
			}
			if !isPromise(q.status) || ctx.Err() != nil {
				break
			}
			scope.Sleep(ctx, min(retryAfter, q.deadline/3))
			p = s.processes[rng.IntN(len(s.processes))]
		}
	}
}

// connect returns a connection to a daemon: a kept one if there are enough or there is no new one, nil if there is none. Repeated requests get a new one.
func (s *stopRun) connect(p *process, repeated bool, rng *rand.Rand) *keptConn {
	s.stopMu.Lock()
	n := len(s.kept[p])
	s.stopMu.Unlock()
	if repeated || n < keptPerDaemon && rng.IntN(2) == 0 {
		if c, err := net.DialTimeout("tcp4", p.callerAddress, time.Second); err == nil {
			return &keptConn{Conn: c, r: bufio.NewReader(c)}
		}
	}
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	if repeated || len(s.kept[p]) == 0 {
		return nil
	}
	c := s.kept[p][0]
	s.kept[p] = s.kept[p][1:]
	return c
}

// closeKept closes the idle connections to a daemon.
func (s *stopRun) closeKept(p *process) {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	for _, c := range s.kept[p] {
		_ = c.Close()
	}
	s.kept[p] = nil
}

// exchange sends a request, notes how it ended and keeps the connection if it can be used again. It returns the answer's Retry-After.
func (s *stopRun) exchange(c *keptConn, q *call) time.Duration {
	var head strings.Builder
	body := "body of " + q.id + strings.Repeat(standin.Padding, q.upload)
	fmt.Fprintf(&head, "POST /%s/x?%s HTTP/1.1\r\nHost: h.example\r\nX-Gooseberryway-Attempt-Id: %s\r\nX-Gooseberryway-Deadline-Milliseconds: %d\r\n",
		q.kind, q.script.Query(), q.id, q.deadline.Milliseconds())
	fmt.Fprintf(&head, "Authorization: Bearer key-a\r\nContent-Length: %d\r\n", len(body))
	if isGeneration(q.kind) {
		fmt.Fprintf(&head, "X-Gooseberryway-Model: m\r\nX-Gooseberryway-Token-Counts: 100,8\r\nX-Gooseberryway-Prompt-Prefix: b%d:50,%x:50\r\n",
			len(q.id)%sharedPrefixes, q.id)
	}
	q.startedAt, q.reused = time.Now(), c.reused
	_ = c.SetDeadline(q.startedAt.Add(q.deadline + callerSlack))
	sent := make(chan time.Time, 1)
	go func() {
		defer close(sent)
		if _, err := io.WriteString(c, head.String()+"\r\n"+body); err == nil {
			sent <- time.Now()
		}
	}()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	keep, retryAfter := false, time.Duration(0)
	if err == nil {
		q.read(resp)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
		keep = q.complete && !resp.Close
	} else {
		var malformed textproto.ProtocolError
		q.err, q.junk = err, errors.As(err, &malformed) || strings.Contains(err.Error(), "malformed")
	}
	q.endedAt = time.Now()
	if !keep {
		_ = c.Close()
	}
	q.sentAt = <-sent
	if !keep {
		return retryAfter
	}
	q.junk = q.junk || c.r.Buffered() > 0
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	c.reused = true
	s.kept[q.daemon] = append(s.kept[q.daemon], c)
	return retryAfter
}

// read reads an answer to its end and compares it with what the upstream sends.
func (q *call) read(resp *http.Response) {
	defer resp.Body.Close()
	q.status, q.signature = resp.StatusCode, resp.Header.Get("X-Gooseberryway-Response-Signature")
	q.answeredID = resp.Header.Get("X-Gooseberryway-Attempt-Id")
	raw, err := io.ReadAll(resp.Body)
	q.complete, q.err = err == nil, err
	whole, got := q.script.Body(q.id), string(raw)
	if q.status/100 == 2 && (q.complete && got != whole || !strings.HasPrefix(whole, got)) {
		q.other = fmt.Sprintf("%d bytes of %d, ending in %q", len(got), len(whole), got[max(0, len(got)-40):])
	}
}
