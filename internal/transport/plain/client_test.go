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

// inOrder picks the base URLs in turn.
type inOrder struct {
	urls     []string
	outcomes []plain.Outcome
}

func (p *inOrder) Pick(_ context.Context, tried []ident.UpstreamID) (plain.Target, error) {
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

func booking(body string) *plain.Request {
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

// refusedURL is a port below those that the system gives out, so that no other process listens there by chance.
const refusedURL = "http://127.0.0.1:1"

func TestDoPassesTheCallOnWithoutTheCallersKey(t *testing.T) {
	s, c := startService(t, standin.Faults{}), startClient(t)
	req := booking("two mirrors")
	req.RawQuery = "day=2&token=" + callerKey
	resp, err := c.Do(t.Context(), req, &inOrder{urls: []string{s.URL()}})
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer standin.Response
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, standin.Response{
		RequestID: "r1", Organisation: "survey", Method: "POST", Path: "/visits", Query: "day=2", EffectCount: 1, Body: "two mirrors",
	}, answer)
	require.Zero(t, s.Stats().CallerKeysSeen)

	req = booking("x")
	req.Path = "/visits/" + callerKey
	_, err = c.Do(t.Context(), req, &inOrder{urls: []string{s.URL()}})
	var shown *plain.KeyInPathError
	require.ErrorAs(t, err, &shown)
	require.Equal(t, 1, s.Stats().Requests)
}

func TestHeadersThatReachTheService(t *testing.T) {
	got := make(chan http.Header, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })}
	go server.Serve(l)
	defer server.Close()
	headers := func(c *plain.Client, req *plain.Request) http.Header {
		resp, err := c.Do(t.Context(), req, &inOrder{urls: []string{"http://" + l.Addr().String()}})
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return withoutLength(<-got)
	}
	require.Equal(t, http.Header{
		"Authorization": {"Bearer service-secret"}, "Content-Type": {"text/plain"}, "Idempotency-Key": {"k1"},
		"X-Request-Id": {"r1"}, "X-Route-Id": {"bookings"}, "X-Organisation-Id": {"survey"},
	}, headers(startClient(t), booking("")))

	open := booking("")
	open.CallerKey, open.Organisation = "", ""
	open.Header = http.Header{"Authorization": {"Bearer x"}, "X-Api-Key": {"x"}, "X-Organisation-Id": {"spoofed"}}
	require.Equal(t, http.Header{"X-Request-Id": {"r1"}, "X-Route-Id": {"bookings"}}, headers(&plain.Client{}, open))
}

func withoutLength(h http.Header) http.Header {
	h.Del("Content-Length")
	return h
}

func arrived(s standin.Stats) bool { return s.Requests > 0 }

func ran(s standin.Stats) bool { return s.Effects > 0 }

func TestRetries(t *testing.T) {
	cases := map[string]struct {
		first standin.Faults
		// expires reports whether the deadline has passed; nil is never.
		expires    func(standin.Stats) bool
		idempotent bool
		status     int
		kind       extern.UpstreamErrorKind
		notRun     bool
		effects    int // over both services
	}{
		"refused":                  {first: standin.Faults{Refused: 1}, status: 200, effects: 1},
		"lost before, once only":   {first: standin.Faults{LostBefore: 1}, kind: extern.UpstreamBroken},
		"lost after, once only":    {first: standin.Faults{LostAfter: 1}, kind: extern.UpstreamBroken, effects: 1},
		"lost after, idempotent":   {first: standin.Faults{LostAfter: 1}, idempotent: true, status: 200, effects: 2},
		"error, passed on":         {first: standin.Faults{Errors: 1}, idempotent: true, status: 500, effects: 1},
		"crossed, once only":       {first: standin.Faults{Mismatched: 1}, kind: extern.UpstreamResponseMismatch, effects: 1},
		"crossed, idempotent":      {first: standin.Faults{Mismatched: 1}, idempotent: true, status: 200, effects: 2},
		"late beyond the deadline": {first: standin.Faults{Late: 1, LateBy: time.Hour}, expires: ran, kind: extern.UpstreamTimeout, effects: 1},
		"slow beyond the deadline": {first: standin.Faults{Delay: time.Hour}, expires: arrived, kind: extern.UpstreamTimeout, effects: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			first, second, c := startService(t, tc.first), startService(t, standin.Faults{}), startClient(t)
			req := booking("body")
			req.Idempotent = tc.idempotent
			ctx := t.Context()
			if tc.expires != nil {
				ctx = fakes.ExpireWhen(ctx, func() bool { return tc.expires(first.Stats()) })
			}
			resp, err := c.Do(ctx, req, &inOrder{urls: []string{first.URL(), second.URL()}})
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

func TestASilentServiceLeavesTimeForAnother(t *testing.T) {
	silent, second, c := startService(t, standin.Faults{Delay: time.Hour}), startService(t, standin.Faults{}), startClient(t)
	req := booking("x")
	req.Idempotent = true
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	picker := &inOrder{urls: []string{silent.URL(), second.URL()}}
	resp, err := c.Do(ctx, req, picker)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.False(t, picker.outcomes[0].Cancelled, "the service's fault")
	whole, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(whole), `"run":1`)
}

func TestNotRunCoversAllAttempts(t *testing.T) {
	c := startClient(t)
	var up *extern.UpstreamError
	_, err := c.Do(t.Context(), booking("x"), &inOrder{urls: []string{refusedURL, refusedURL}})
	require.ErrorAs(t, err, &up)
	require.True(t, up.NotRun)

	refusing := startService(t, standin.Faults{Refused: 1})
	resp, err := c.Do(t.Context(), booking("x"), &inOrder{urls: []string{refusedURL, refusing.URL()}})
	require.ErrorAs(t, err, &up, "%v", resp)
	require.True(t, up.NotRun)
	require.Equal(t, time.Second, up.RetryAfter)

	losing := startService(t, standin.Faults{LostAfter: 1})
	req := booking("x")
	req.Idempotent = true
	_, err = c.Do(t.Context(), req, &inOrder{urls: []string{losing.URL(), refusedURL}})
	require.ErrorAs(t, err, &up)
	require.False(t, up.NotRun, "the first attempt ran")
}

func TestTruncatedAnswerIsNoWholeBody(t *testing.T) {
	s, c := startService(t, standin.Faults{Truncated: 1}), startClient(t)
	resp, err := c.Do(t.Context(), booking("a body to cut"), &inOrder{urls: []string{s.URL()}})
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestBodies(t *testing.T) {
	s, c := startService(t, standin.Faults{}), startClient(t)
	c.MaxReplayBytes, c.MaxBodyBytes = 10, 100
	cases := map[string]struct {
		size    int
		unknown bool
		down    bool // the first service refuses connections
		tooBig  bool
	}{
		"held":                        {size: 10},
		"streamed":                    {size: 50},
		"streamed, unknown length":    {size: 50, unknown: true},
		"largest":                     {size: 100, unknown: true},
		"too large":                   {size: 101, tooBig: true},
		"too large, unknown length":   {size: 101, unknown: true, tooBig: true},
		"held, sent again":            {size: 10, down: true},
		"streamed, unread, sent also": {size: 50, down: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("b", tc.size)
			req := booking(body)
			req.Body = io.MultiReader(bytes.NewBufferString(body))
			if tc.unknown {
				req.ContentLength = -1
			}
			picker := &inOrder{urls: []string{s.URL()}}
			if tc.down {
				picker.urls = []string{refusedURL, s.URL()}
			}
			resp, err := c.Do(t.Context(), req, picker)
			if tc.tooBig {
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

func TestNoCallRunsTwiceUnlessIdempotent(t *testing.T) {
	faults := standin.Faults{Refused: 0.2, LostBefore: 0.2, LostAfter: 0.2, Errors: 0.1, Mismatched: 0.1}
	a, b, c := startService(t, faults), startService(t, faults), startClient(t)
	for i := range 200 {
		req := booking("x")
		req.ID = ident.RequestID(fmt.Sprintf("r%d", i))
		resp, err := c.Do(t.Context(), req, &inOrder{urls: []string{a.URL(), b.URL(), a.URL()}})
		runs := a.Runs(req.ID) + b.Runs(req.ID)
		require.LessOrEqual(t, runs, 1)
		var up *extern.UpstreamError
		if err == nil {
			require.NoError(t, resp.Body.Close())
			require.Equal(t, resp.NotRun, runs == 0)
			continue
		}
		require.ErrorAs(t, err, &up)
		require.False(t, up.NotRun && runs > 0, "said not to have run")
	}
	require.Zero(t, a.Stats().RepeatedEffects+b.Stats().RepeatedEffects)
}

// FuzzForwardedHidesTheKey checks that no header or query reaches a service with the caller's key.
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
		req := booking("")
		req.Header, req.RawQuery = http.Header{name: {value}}, query
		resp, err := c.Do(t.Context(), req, &inOrder{urls: []string{"http://" + l.Addr().String()}})
		if err != nil {
			return
		}
		require.NoError(t, resp.Body.Close())
		seen := <-got
		require.False(t, httpd.ContainsSecret(seen, callerKey))
		require.NotContains(t, seen.URL.Query().Encode(), callerKey)
	})
}
