package plain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	standin "github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
)

const callerKey = "sk-caller-secret"

// sequentialPicker picks the base URLs in turn and records the outcomes of the attempts.
type sequentialPicker struct {
	urls     []string
	outcomes []plain.Outcome
}

func (p *sequentialPicker) Pick(_ context.Context, tried []ident.UpstreamID) (plain.Target, error) {
	if len(tried) >= len(p.urls) {
		return plain.Target{}, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	url := p.urls[len(tried)]
	report := func(o plain.Outcome) { p.outcomes = append(p.outcomes, o) }
	return plain.Target{Upstream: ident.UpstreamID(url), BaseURL: url, Report: report}, nil
}

func startService(t *testing.T, f standin.Faults) *standin.Service {
	t.Helper()
	s := &standin.Service{}
	s.SetFaults(f)
	s.WatchCallerKeys([]string{callerKey})
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

func startClient(t *testing.T) *plain.Client {
	t.Helper()
	c := &plain.Client{Credential: func(string) string { return "service-secret" }}
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func newRequest(body string) *plain.Request {
	return &plain.Request{
		ID: "r1", Route: "bookings", Organisation: "survey", Method: http.MethodPost, Path: "/visits", RawQuery: "day=2",
		Header: http.Header{
			"Authorization": {"Bearer " + callerKey}, "X-Api-Key": {callerKey}, "X-Copy": {"k=" + callerKey},
			"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Content-Type": {"text/plain"},
			"X-Organisation-Id": {"spoofed"}, "Idempotency-Key": {"k1"},
		},
		Body: strings.NewReader(body), ContentLength: int64(len(body)), CallerKey: callerKey,
	}
}

// unreachableURL refuses connections. Its port lies below the ephemeral ports, so that no other process listens there by chance.
const unreachableURL = "http://127.0.0.1:1"

// A caller's key in a header or query must be removed; one in the path can't be, so the request must not be sent.
func TestDoForwardsRequestWithoutCallerKey(t *testing.T) {
	s, c := startService(t, standin.Faults{}), startClient(t)
	req := newRequest("two mirrors")
	req.RawQuery = "day=2&token=" + callerKey
	resp, err := c.Do(t.Context(), req, &sequentialPicker{urls: []string{s.URL()}})
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer standin.Response
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, standin.Response{
		RequestID: "r1", Organisation: "survey", Method: "POST", Path: "/visits", Query: "day=2", EffectCount: 1, Body: "two mirrors",
	}, answer)
	require.Zero(t, s.Stats().CallerKeysSeen)

	req = newRequest("x")
	req.Path = "/visits/" + callerKey
	_, err = c.Do(t.Context(), req, &sequentialPicker{urls: []string{s.URL()}})
	var keyInPath *plain.KeyInPathError
	require.ErrorAs(t, err, &keyInPath)
	require.Equal(t, 1, s.Stats().Requests)
}

// Guards against credentials, hop-by-hop headers and forged identity headers that reach a service.
func TestDoForwardsOnlyAllowedHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })}
	go server.Serve(l)
	defer server.Close()
	forwardedHeaders := func(c *plain.Client, req *plain.Request) http.Header {
		resp, err := c.Do(t.Context(), req, &sequentialPicker{urls: []string{"http://" + l.Addr().String()}})
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return withoutContentLength(<-got)
	}
	require.Equal(t, http.Header{
		"Authorization": {"Bearer service-secret"}, "Content-Type": {"text/plain"}, "Idempotency-Key": {"k1"},
		"X-Request-Id": {"r1"}, "X-Route-Id": {"bookings"}, "X-Organisation-Id": {"survey"},
	}, forwardedHeaders(startClient(t), newRequest("")))

	anonymous := newRequest("")
	anonymous.CallerKey, anonymous.Organisation = "", ""
	anonymous.Header = http.Header{"Authorization": {"Bearer x"}, "X-Api-Key": {"x"}, "X-Organisation-Id": {"spoofed"}}
	require.Equal(t, http.Header{"X-Request-Id": {"r1"}, "X-Route-Id": {"bookings"}}, forwardedHeaders(&plain.Client{}, anonymous))
}

func withoutContentLength(h http.Header) http.Header {
	h.Del("Content-Length")
	return h
}

func requestReceived(s standin.Stats) bool { return s.Requests > 0 }

func requestRan(s standin.Stats) bool { return s.Effects > 0 }

// A retry after an attempt that may have run is safe only for an idempotent request. Losing the response, a response to
// another request and a time-out all leave open whether the request ran.
func TestDoRetriesOnlyWhenSafe(t *testing.T) {
	cases := map[string]struct {
		firstFaults standin.Faults
		// expireWhen reports whether the deadline has passed; nil means that it never does.
		expireWhen func(standin.Stats) bool
		idempotent bool
		status     int
		kind       extern.UpstreamErrorKind
		notRun     bool
		effects    int // sum over both services
	}{
		"request refused as not run":    {firstFaults: standin.Faults{Refused: 1}, status: 200, effects: 1},
		"request lost before the run":   {firstFaults: standin.Faults{LostBefore: 1}, kind: extern.UpstreamBroken},
		"response lost":                 {firstFaults: standin.Faults{LostAfter: 1}, kind: extern.UpstreamBroken, effects: 1},
		"response lost, idempotent":     {firstFaults: standin.Faults{LostAfter: 1}, idempotent: true, status: 200, effects: 2},
		"error response is not retried": {firstFaults: standin.Faults{Errors: 1}, idempotent: true, status: 500, effects: 1},
		"response mismatch":             {firstFaults: standin.Faults{Mismatched: 1}, kind: extern.UpstreamResponseMismatch, effects: 1},
		"response mismatch, idempotent": {firstFaults: standin.Faults{Mismatched: 1}, idempotent: true, status: 200, effects: 2},
		"response after the deadline":   {firstFaults: standin.Faults{Late: 1, LateBy: time.Hour}, expireWhen: requestRan, kind: extern.UpstreamTimeout, effects: 1},
		"run beyond the deadline":       {firstFaults: standin.Faults{Delay: time.Hour}, expireWhen: requestReceived, kind: extern.UpstreamTimeout, effects: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			first, second, c := startService(t, tc.firstFaults), startService(t, standin.Faults{}), startClient(t)
			req := newRequest("body")
			req.Idempotent = tc.idempotent
			ctx := t.Context()
			if tc.expireWhen != nil {
				ctx = fakes.ExpireWhen(ctx, func() bool { return tc.expireWhen(first.Stats()) })
			}
			resp, err := c.Do(ctx, req, &sequentialPicker{urls: []string{first.URL(), second.URL()}})
			if tc.kind != "" {
				var up *extern.UpstreamError
				require.ErrorAs(t, err, &up)
				require.Equal(t, tc.kind, up.Kind)
				require.Equal(t, tc.notRun, up.NotRun)
			} else {
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.Status)
				require.NoError(t, resp.Body.Close())
			}
			require.Eventually(t, func() bool {
				return first.Stats().Effects+second.Stats().Effects == tc.effects
			}, 30*time.Second, time.Millisecond)
		})
	}
}

// Guards against one unresponsive service that uses up the whole deadline of an idempotent request.
func TestUnresponsiveServiceLeavesTimeForAnotherAttempt(t *testing.T) {
	unresponsive, second, c := startService(t, standin.Faults{Delay: time.Hour}), startService(t, standin.Faults{}), startClient(t)
	req := newRequest("x")
	req.Idempotent = true
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	picker := &sequentialPicker{urls: []string{unresponsive.URL(), second.URL()}}
	resp, err := c.Do(ctx, req, picker)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.False(t, picker.outcomes[0].Cancelled, "the time-out must count against the service")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), `"run":1`)
}

// "Not run" after the last attempt must not hide an earlier attempt that ran: a caller that trusts it would run the request
// twice.
func TestNotRunCoversAllAttempts(t *testing.T) {
	c := startClient(t)
	var up *extern.UpstreamError
	_, err := c.Do(t.Context(), newRequest("x"), &sequentialPicker{urls: []string{unreachableURL, unreachableURL}})
	require.ErrorAs(t, err, &up)
	require.True(t, up.NotRun)

	rejecting := startService(t, standin.Faults{Refused: 1})
	resp, err := c.Do(t.Context(), newRequest("x"), &sequentialPicker{urls: []string{unreachableURL, rejecting.URL()}})
	require.ErrorAs(t, err, &up, "%v", resp)
	require.True(t, up.NotRun)
	require.Equal(t, time.Second, up.RetryAfter)

	dropsResponse := startService(t, standin.Faults{LostAfter: 1})
	req := newRequest("x")
	req.Idempotent = true
	_, err = c.Do(t.Context(), req, &sequentialPicker{urls: []string{dropsResponse.URL(), unreachableURL}})
	require.ErrorAs(t, err, &up)
	require.False(t, up.NotRun, "the first attempt has run")
}

// A response that ends before its declared length must not look complete to the caller.
func TestTruncatedResponseFailsBodyRead(t *testing.T) {
	s, c := startService(t, standin.Faults{Truncated: 1}), startClient(t)
	resp, err := c.Do(t.Context(), newRequest("a body to cut"), &sequentialPicker{urls: []string{s.URL()}})
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Bodies beyond the limit must fail with their own error, also if their length is unknown. A body must arrive whole after a
// failed first attempt, buffered or not.
func TestRequestBodyLimitsAndReplay(t *testing.T) {
	s, c := startService(t, standin.Faults{}), startClient(t)
	c.MaxReplayBytes, c.MaxBodyBytes = 10, 100
	cases := map[string]struct {
		size             int
		unknownLength    bool
		firstUnreachable bool // the first service refuses connections
		tooLarge         bool
	}{
		"buffered":                        {size: 10},
		"streamed":                        {size: 50},
		"streamed, unknown length":        {size: 50, unknownLength: true},
		"largest allowed":                 {size: 100, unknownLength: true},
		"too large":                       {size: 101, tooLarge: true},
		"too large, unknown length":       {size: 101, unknownLength: true, tooLarge: true},
		"buffered, sent again":            {size: 10, firstUnreachable: true},
		"streamed but unread, sent again": {size: 50, firstUnreachable: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("b", tc.size)
			req := newRequest(body)
			req.Body = io.MultiReader(bytes.NewBufferString(body))
			if tc.unknownLength {
				req.ContentLength = -1
			}
			picker := &sequentialPicker{urls: []string{s.URL()}}
			if tc.firstUnreachable {
				picker.urls = []string{unreachableURL, s.URL()}
			}
			resp, err := c.Do(t.Context(), req, picker)
			if tc.tooLarge {
				var large *plain.BodyTooLargeError
				require.ErrorAs(t, err, &large)
				return
			}
			require.NoError(t, err)
			defer resp.Body.Close()
			var answer standin.Response
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
			require.Equal(t, body, answer.Body)
		})
	}
}

// Under random faults a non-idempotent request must run at most once, and "not run" must be true.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	faults := standin.Faults{Refused: 0.2, LostBefore: 0.2, LostAfter: 0.2, Errors: 0.1, Mismatched: 0.1}
	a, b, c := startService(t, faults), startService(t, faults), startClient(t)
	for i := range 200 {
		req := newRequest("x")
		req.ID = ident.RequestID(fmt.Sprintf("r%d", i))
		resp, err := c.Do(t.Context(), req, &sequentialPicker{urls: []string{a.URL(), b.URL(), a.URL()}})
		runs := a.Runs(req.ID) + b.Runs(req.ID)
		require.LessOrEqual(t, runs, 1)
		var up *extern.UpstreamError
		if err == nil {
			require.NoError(t, resp.Body.Close())
			require.Equal(t, resp.NotRun, runs == 0)
			continue
		}
		require.ErrorAs(t, err, &up)
		require.False(t, up.NotRun && runs > 0, "the error says not run, but the request ran")
	}
	require.Zero(t, a.Stats().RepeatedEffects+b.Stats().RepeatedEffects)
}

// FuzzForwardedHidesTheKey checks that no header or query that contains the caller's key reaches a service.
func FuzzForwardedHidesTheKey(f *testing.F) {
	f.Add("Authorization", "Bearer "+callerKey, "a=1&b="+callerKey)
	f.Add("Connection", "x-hop, Authorization", "%73k-caller-secret")
	f.Add("cookie", "s="+callerKey, "&&=&")
	got := make(chan *http.Request, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r })}
	go server.Serve(l)
	f.Cleanup(func() { server.Close() })
	c := &plain.Client{}
	f.Fuzz(func(t *testing.T, name, value, query string) {
		req := newRequest("")
		req.Header, req.RawQuery = http.Header{name: {value}}, query
		resp, err := c.Do(t.Context(), req, &sequentialPicker{urls: []string{"http://" + l.Addr().String()}})
		if err != nil {
			return
		}
		require.NoError(t, resp.Body.Close())
		seen := <-got
		require.False(t, httpd.ContainsSecret(seen, callerKey))
		require.NotContains(t, seen.URL.Query().Encode(), callerKey)
	})
}
