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

func startEngine(t *testing.T, s standin.Settings) *standin.Engine {
	t.Helper()
	s.ID, s.Model, s.Versions = "e1", "m", []ident.VersionID{"v1"}
	if s.TimeScale == 0 {
		s.TimeScale = 0.01
	}
	e := &standin.Engine{Settings: s}
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

func request(id ident.RequestID) extern.EngineRequest {
	return extern.EngineRequest{
		Request: id, Organisation: "survey", Model: "m", Version: "v1",
		Prompt: []byte(strings.Repeat("species ledger ", 1000)), MaxTokens: 40, Seed: 7,
	}
}

// readAll returns the text of a stream, checking that its chunks are contiguous.
func readAll(t *testing.T, s extern.EngineStream, from ident.Tokens) (string, *extern.EngineDone, error) {
	t.Helper()
	var text strings.Builder
	for {
		event, err := s.Next()
		if err != nil {
			return text.String(), nil, err
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			require.Equal(t, from, event.Index)
			from += event.Count
			text.WriteString(event.Text)
		case *extern.EngineDone:
			return text.String(), event, nil
		}
	}
}

func TestCompleteStreamsTheWholeAnswer(t *testing.T) {
	e, c := startEngine(t, standin.Settings{}), startClient(t)
	req := request("r1")
	for round, cached := range []ident.Tokens{0, 3000} {
		s, err := c.Complete(t.Context(), "e1", e.URL(), req)
		require.NoError(t, err)
		text, done, err := readAll(t, s, 0)
		require.NoError(t, err)
		require.NoError(t, s.Close())
		require.Equal(t, standin.Answer("m", "v1", standin.DigestPrompt(req.Prompt), 7, 0, 40), text)
		require.Equal(t, ident.RequestID("r1"), done.Request)
		require.Equal(t, ident.Tokens(3750), done.PromptTokens)
		require.Equal(t, cached, done.CachedTokens, "round %d", round)
		require.Equal(t, ident.Tokens(40), done.OutputTokens)
	}
}

func TestCompleteResumes(t *testing.T) {
	e, c := startEngine(t, standin.Settings{}), startClient(t)
	req := request("r1")
	req.ResumeFrom = 25
	s, err := c.Complete(t.Context(), "e1", e.URL(), req)
	require.NoError(t, err)
	text, done, err := readAll(t, s, 25)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Equal(t, standin.Answer("m", "v1", standin.DigestPrompt(req.Prompt), 7, 25, 40), text)
	require.Equal(t, ident.Tokens(40), done.OutputTokens)
}

func TestCompleteFailures(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		change func(*extern.EngineRequest)
		// expires is true if the deadline passes once the engine works on the request.
		expires bool
		kind    extern.UpstreamErrorKind
		notRun  bool
	}{
		"unknown version": {change: func(r *extern.EngineRequest) { r.Version = "v9" }, kind: extern.UpstreamRejected, notRun: true},
		"error":           {faults: standin.Faults{Errors: 1}, kind: extern.UpstreamBroken},
		"truncated":       {faults: standin.Faults{Truncated: 1}, kind: extern.UpstreamBroken},
		"crossed":         {faults: standin.Faults{Mismatched: 1}, kind: extern.UpstreamResponseMismatch},
		"stalled":         {faults: standin.Faults{Stalled: 1}, expires: true, kind: extern.UpstreamTimeout},
		"late":            {faults: standin.Faults{Late: 1, LateBy: 24 * time.Hour}, expires: true, kind: extern.UpstreamTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e, c := startEngine(t, standin.Settings{}), startClient(t)
			e.SetFaults(tc.faults)
			req := request("r1")
			if tc.change != nil {
				tc.change(&req)
			}
			ctx := t.Context()
			if tc.expires {
				ctx = fakes.ExpireWhen(ctx, func() bool { return e.Stats().OutputTokens >= req.MaxTokens/2 })
			}
			s, err := c.Complete(ctx, "e1", e.URL(), req)
			if err == nil {
				_, _, err = readAll(t, s, 0)
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

func TestCompleteAgainstACrash(t *testing.T) {
	e, c := startEngine(t, standin.Settings{TimeScale: 1}), startClient(t)
	s, err := c.Complete(t.Context(), "e1", e.URL(), request("r1"))
	require.NoError(t, err)
	event, err := s.Next()
	require.NoError(t, err)
	chunk, ok := event.(*extern.EngineChunk)
	require.True(t, ok)
	next := chunk.Index + chunk.Count
	e.Crash(time.Hour)
	_, _, err = readAll(t, s, next)
	var up *extern.UpstreamError
	require.ErrorAs(t, err, &up)
	require.Equal(t, extern.UpstreamBroken, up.Kind)
	require.NoError(t, s.Close())

	_, err = c.Complete(t.Context(), "e1", e.URL(), request("r2"))
	require.ErrorAs(t, err, &up)
	require.Equal(t, extern.UpstreamUnreachable, up.Kind)
	require.True(t, up.NotRun, "nothing listens")
}

// refusedURL is a port below those that the system gives out, so that no other process listens there by chance.
const refusedURL = "http://127.0.0.1:1"

func TestCompleteIsNotRunOnlyIfNoByteLeft(t *testing.T) {
	c := startClient(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	_, err := c.Complete(t.Context(), "e1", server.URL, request("r1"))
	var up *extern.UpstreamError
	require.ErrorAs(t, err, &up)
	require.False(t, up.NotRun, "the request was sent")

	_, err = c.Complete(t.Context(), "e1", refusedURL, request("r1"))
	require.ErrorAs(t, err, &up)
	require.True(t, up.NotRun, "nothing listens")
}

func TestCloseCancelsAtTheEngine(t *testing.T) {
	e, c := startEngine(t, standin.Settings{TimeScale: 1}), startClient(t)
	s, err := c.Complete(t.Context(), "e1", e.URL(), request("r1"))
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool { return e.Stats().Cancelled == 1 }, 30*time.Second, time.Millisecond)
}

func TestOrderFailures(t *testing.T) {
	e, c := startEngine(t, standin.Settings{ChecksFencing: true, ChecksIdentity: true, Credential: "engine-secret"}), startClient(t)
	load := extern.EngineOrder{Kind: extern.OrderLoadVersion, Model: "m", Version: "v2", FencingToken: 5}
	require.NoError(t, c.Order(t.Context(), e.URL(), load))
	require.Equal(t, 1, e.Stats().OrdersTaken)

	load.FencingToken = 4
	var up *extern.UpstreamError
	require.ErrorAs(t, c.Order(t.Context(), e.URL(), load), &up)
	require.Equal(t, extern.UpstreamFenced, up.Kind)

	stranger := &engine.Client{}
	defer stranger.Close()
	require.ErrorAs(t, stranger.Order(t.Context(), e.URL(), load), &up)
	require.Equal(t, extern.UpstreamRejected, up.Kind)
	require.Equal(t, 1, e.Stats().OrdersUnidentified)
}
