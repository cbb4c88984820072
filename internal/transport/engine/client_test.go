package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

func startEngine(t *testing.T, settings standin.Settings) *standin.Engine {
	t.Helper()
	settings.ID, settings.Model, settings.Versions = "e1", "m", []ident.VersionID{"v1"}
	if settings.TimeScale == 0 {
		settings.TimeScale = 0.01
	}
	e := &standin.Engine{Settings: settings}
	require.NoError(t, e.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	return e
}

func startClient(t *testing.T) *engine.Client {
	t.Helper()
	c := &engine.Client{Credential: func(string) string { return "engine-secret" }}
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c
}

func newRequest(id ident.RequestID) extern.EngineRequest {
	return extern.EngineRequest{
		Request: id, Organisation: "survey", Model: "m", Version: "v1",
		Prompt: []byte(strings.Repeat("species ledger ", 1000)), MaxTokens: 40, Seed: 7,
	}
}

// readStream returns the text and the last event of a stream. It checks that the token indexes of the chunks have no gap.
func readStream(t *testing.T, s extern.EngineStream, next ident.Tokens) (string, *extern.EngineDone, error) {
	t.Helper()
	var text strings.Builder
	for {
		event, err := s.Next()
		if err != nil {
			return text.String(), nil, err
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			require.Equal(t, next, event.Index)
			next += event.Count
			text.WriteString(event.Text)
		case *extern.EngineDone:
			return text.String(), event, nil
		}
	}
}

func TestCompleteStreamsWholeResponse(t *testing.T) {
	e, c := startEngine(t, standin.Settings{}), startClient(t)
	req := newRequest("r1")
	for run, cached := range []ident.Tokens{0, 3000} {
		s, err := c.Complete(t.Context(), "e1", e.URL(), req)
		require.NoError(t, err)
		text, done, err := readStream(t, s, 0)
		require.NoError(t, err)
		require.NoError(t, s.Close())
		require.Equal(t, standin.Answer("m", "v1", standin.DigestPrompt(req.Prompt), 7, 0, 40), text)
		require.Equal(t, ident.RequestID("r1"), done.Request)
		require.Equal(t, ident.Tokens(3750), done.PromptTokens)
		require.Equal(t, cached, done.CachedTokens, "run %d", run)
		require.Equal(t, ident.Tokens(40), done.OutputTokens)
	}
}

// A request that resumes at token 25 must yield only the tokens from 25 on, with their indexes in the whole response.
func TestCompleteResumesFromToken(t *testing.T) {
	e, c := startEngine(t, standin.Settings{}), startClient(t)
	req := newRequest("r1")
	req.ResumeFrom = 25
	s, err := c.Complete(t.Context(), "e1", e.URL(), req)
	require.NoError(t, err)
	text, done, err := readStream(t, s, 25)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Equal(t, standin.Answer("m", "v1", standin.DigestPrompt(req.Prompt), 7, 25, 40), text)
	require.Equal(t, ident.Tokens(40), done.OutputTokens)
}

func TestCompleteClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		modify func(*extern.EngineRequest)
		// expires makes the deadline pass after the engine has produced half of the output tokens.
		expires bool
		kind    extern.UpstreamErrorKind
		notRun  bool
	}{
		"unknown version":             {modify: func(r *extern.EngineRequest) { r.Version = "v9" }, kind: extern.UpstreamRejected, notRun: true},
		"engine error":                {faults: standin.Faults{Errors: 1}, kind: extern.UpstreamBroken},
		"truncated stream":            {faults: standin.Faults{Truncated: 1}, kind: extern.UpstreamBroken},
		"response to another request": {faults: standin.Faults{Mismatched: 1}, kind: extern.UpstreamResponseMismatch},
		"stalled stream":              {faults: standin.Faults{Stalled: 1}, expires: true, kind: extern.UpstreamTimeout},
		"late response":               {faults: standin.Faults{Late: 1, LateBy: 24 * time.Hour}, expires: true, kind: extern.UpstreamTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e, c := startEngine(t, standin.Settings{}), startClient(t)
			e.SetFaults(tc.faults)
			req := newRequest("r1")
			if tc.modify != nil {
				tc.modify(&req)
			}
			ctx := t.Context()
			if tc.expires {
				ctx = fakes.ExpireWhen(ctx, func() bool { return e.Stats().OutputTokens >= req.MaxTokens/2 })
			}
			s, err := c.Complete(ctx, "e1", e.URL(), req)
			if err == nil {
				_, _, err = readStream(t, s, 0)
				require.NoError(t, s.Close())
			}
			var up *extern.UpstreamError
			require.ErrorAs(t, err, &up)
			require.Equal(t, tc.kind, up.Kind, "%v", err)
			require.Equal(t, tc.notRun, up.NotRun)
			require.Equal(t, ident.UpstreamID("e1"), up.Upstream)
		})
	}
}

// An engine that crashes while it sends a response breaks the stream. Later requests find no listener and are known not to
// have run.
func TestCompleteWhenEngineCrashes(t *testing.T) {
	e, c := startEngine(t, standin.Settings{TimeScale: 1}), startClient(t)
	s, err := c.Complete(t.Context(), "e1", e.URL(), newRequest("r1"))
	require.NoError(t, err)
	event, err := s.Next()
	require.NoError(t, err)
	chunk, ok := event.(*extern.EngineChunk)
	require.True(t, ok)
	next := chunk.Index + chunk.Count
	e.Crash(time.Hour)
	_, _, err = readStream(t, s, next)
	var up *extern.UpstreamError
	require.ErrorAs(t, err, &up)
	require.Equal(t, extern.UpstreamBroken, up.Kind)
	require.NoError(t, s.Close())

	_, err = c.Complete(t.Context(), "e1", e.URL(), newRequest("r2"))
	require.ErrorAs(t, err, &up)
	require.Equal(t, extern.UpstreamUnreachable, up.Kind)
	require.True(t, up.NotRun, "nothing listens")
}

// closedPortURL uses a port below the ephemeral range, so that no other process listens on it by chance.
const closedPortURL = "http://127.0.0.1:1"

// A connection that breaks after the request was sent must not be reported as NotRun: the request would be sent
// again although the engine may have run it.
func TestCompleteNotRunOnlyIfNothingSent(t *testing.T) {
	c := startClient(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	_, err := c.Complete(t.Context(), "e1", server.URL, newRequest("r1"))
	var up *extern.UpstreamError
	require.ErrorAs(t, err, &up)
	require.False(t, up.NotRun, "the request was sent")

	_, err = c.Complete(t.Context(), "e1", closedPortURL, newRequest("r1"))
	require.ErrorAs(t, err, &up)
	require.True(t, up.NotRun, "nothing listens")
}

// Closing a stream before its last event must stop the generation, or the engine computes a response that nobody reads.
func TestCloseCancelsRequestAtEngine(t *testing.T) {
	e, c := startEngine(t, standin.Settings{TimeScale: 1}), startClient(t)
	s, err := c.Complete(t.Context(), "e1", e.URL(), newRequest("r1"))
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return e.Stats().Cancelled == 1 }, 30*time.Second, time.Millisecond)
}

// An order with a lower fencing token than an earlier one comes from a former leader and must be reported as fenced. An
// order without the credential must be reported as rejected.
func TestOrderClassifiesRejections(t *testing.T) {
	e, c := startEngine(t, standin.Settings{ChecksFencing: true, ChecksIdentity: true, Credential: "engine-secret"}), startClient(t)
	load := extern.EngineOrder{Kind: extern.OrderLoadVersion, Model: "m", Version: "v2", FencingToken: 5}
	require.NoError(t, c.Order(t.Context(), e.URL(), load))
	require.Equal(t, 1, e.Stats().OrdersAccepted)

	load.FencingToken = 4
	var up *extern.UpstreamError
	require.ErrorAs(t, c.Order(t.Context(), e.URL(), load), &up)
	require.Equal(t, extern.UpstreamFenced, up.Kind)

	unauthenticated := &engine.Client{}
	defer unauthenticated.Close()
	require.ErrorAs(t, unauthenticated.Order(t.Context(), e.URL(), load), &up)
	require.Equal(t, extern.UpstreamRejected, up.Kind)
	require.Equal(t, 1, e.Stats().OrdersUnidentified)
}
