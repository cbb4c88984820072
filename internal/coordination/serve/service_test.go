package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

func TestStartRefuses(t *testing.T) {
	cases := map[string]struct {
		key    string
		change func(*testing.T, *bench, *CompletionRequest)
		code   Code
	}{
		"no key":              {"", nil, CodeKeyMissing},
		"unknown key":         {"9", nil, CodeKeyInvalid},
		"withdrawn key":       {"1", func(t *testing.T, b *bench, _ *CompletionRequest) { t.Helper(); b.withdraw(t) }, CodeKeyWithdrawn},
		"another team's key":  {"2", nil, CodeModelNotFound},
		"unknown model":       {"1", func(_ *testing.T, _ *bench, c *CompletionRequest) { c.Model = "n" }, CodeModelNotFound},
		"unknown path":        {"1", func(_ *testing.T, _ *bench, c *CompletionRequest) { c.PathPrefix = "/freely" }, CodeRouteNotFound},
		"plain path":          {"1", func(_ *testing.T, _ *bench, c *CompletionRequest) { c.PathPrefix = "/visits" }, CodeRouteNotFound},
		"bad key, open route": {"9", func(_ *testing.T, _ *bench, c *CompletionRequest) { c.PathPrefix = "/free" }, CodeKeyInvalid},
		"no lease":            {"1", func(_ *testing.T, b *bench, _ *CompletionRequest) { b.leased = false }, CodeNoLease},
		"leaving":             {"1", func(_ *testing.T, b *bench, _ *CompletionRequest) { b.Drain() }, CodeDraining},
		"rate":                {"1", func(_ *testing.T, b *bench, _ *CompletionRequest) { b.refuse = &Error{Code: CodeRateLimited} }, CodeRateLimited},
		"disabled": {"1", func(t *testing.T, b *bench, _ *CompletionRequest) {
			t.Helper()
			b.put(t, &config.Organisation{ID: "survey", Team: "alder", Rate: 10, Burst: 100, Disabled: true})
		}, CodeOrganisationDisabled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, c := newBench(t), call(tc.key)
			if tc.change != nil {
				tc.change(t, b, c)
			}
			_, err := b.Start(t.Context(), c)
			requireCode(t, err, tc.code, NotRun)
			require.NotContains(t, b.noted, "run")
			require.Zero(t, b.OpenRequests())
		})
	}
}

func TestAdmissionOrder(t *testing.T) {
	b := newBench(t)
	run, err := b.Start(t.Context(), call("1"))
	require.NoError(t, err)
	result, err := run.Stream(t.Context(), ignore)
	require.NoError(t, err)
	run.Close()
	require.EqualValues(t, 2, result.OutputTokens)
	require.Equal(t, []string{"admit", "claim", "version", "run"}, b.noted)
}

func TestOpenRouteRunsWithoutAnOrganisation(t *testing.T) {
	b, c := newBench(t), call("")
	c.PathPrefix, c.MaxTokens = "/free", 0
	_, err := b.Start(t.Context(), c)
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, CodeKeyMissing, refusal.Code, "nobody owns the idempotency key")

	c.IdempotencyKey = ""
	var asked extern.EngineRequest
	b.run = func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		asked = req
		return twoTokens(req, emit)
	}
	run, err := b.Start(t.Context(), c)
	require.NoError(t, err)
	defer run.Close()
	_, err = run.Stream(t.Context(), ignore)
	require.NoError(t, err)
	require.Empty(t, run.Organisation())
	require.EqualValues(t, defaultMaxTokens, asked.MaxTokens)
	require.NotContains(t, b.noted, "admit")
}

func TestWhatChangesDuringTheWaitRefuses(t *testing.T) {
	cases := map[string]struct {
		change func(*testing.T, *bench)
		code   Code
	}{
		"key withdrawn": {func(t *testing.T, b *bench) { t.Helper(); b.withdraw(t) }, CodeKeyWithdrawn},
		"lease lapsed":  {func(_ *testing.T, b *bench) { b.leased = false }, CodeNoLease},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.onAdmit = func() { tc.change(t, b) }
			_, err := b.Start(t.Context(), call("1"))
			requireCode(t, err, tc.code, NotRun)
			require.Equal(t, []ident.Tokens{0}, b.settled, "the reservation is given back")
			require.Equal(t, []*StoredResponse{nil}, b.finished, "the claim is freed")
		})
	}
}

func TestWithdrawalDuringAStream(t *testing.T) {
	for action, cut := range map[config.WithdrawalAction]bool{config.WithdrawalCut: true, config.WithdrawalFinish: false} {
		t.Run(string(action), func(t *testing.T) {
			b := newBench(t)
			b.put(t, &config.Route{ID: "chat", Team: "alder", Kind: config.RouteModel, Model: "m", OnKeyWithdrawal: action})
			run, err := b.Start(t.Context(), call("1"))
			require.NoError(t, err)
			defer run.Close()
			_, err = run.Stream(t.Context(), func(string) error {
				if b.state.Offset() == run.state.Load().Offset() {
					b.withdraw(t)
				}
				return nil
			})
			if !cut {
				require.NoError(t, err)
				return
			}
			requireCode(t, err, CodeKeyWithdrawn, HasRun)
		})
	}
}

func TestTokensAreSettledOnce(t *testing.T) {
	prompt := prefix.TokensOf(call("1").Prompt)
	failing := func(ran RunStatus, tokens int) func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		return func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
			for i := range ident.Tokens(tokens) {
				_ = emit(&extern.EngineChunk{Request: req.Request, Index: i, Count: 1})
			}
			return nil, &Error{Code: CodeUpstreamFailed, RunStatus: ran}
		}
	}
	cases := map[string]struct {
		run  func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error)
		want ident.Tokens
		// kept is the number of answers kept, freed tells that the claim is free again.
		kept  int
		freed bool
	}{
		"whole":             {twoTokens, prompt + 2, 1, false},
		"failed in between": {failing(MayHaveRun, 1), prompt + 1, 0, false},
		"not run":           {failing(NotRun, 0), 0, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.run = tc.run
			run, err := b.Start(t.Context(), call("1"))
			require.NoError(t, err)
			_, _ = run.Stream(t.Context(), ignore)
			run.Close()
			run.Close()
			require.Equal(t, []ident.Tokens{tc.want}, b.settled)
			require.Zero(t, b.OpenRequests())
			switch {
			case tc.freed:
				require.Equal(t, []*StoredResponse{nil}, b.finished)
			case tc.kept == 0:
				require.Empty(t, b.finished, "a claim whose outcome is unknown stays")
			default:
				require.Len(t, b.finished, tc.kept)
				require.NotNil(t, b.finished[0])
			}
		})
	}
}

func TestARepeatGetsTheKeptAnswer(t *testing.T) {
	first := newBench(t)
	run, err := first.Start(t.Context(), call("1"))
	require.NoError(t, err)
	want, err := run.Stream(t.Context(), ignore)
	require.NoError(t, err)
	run.Close()

	b := newBench(t)
	b.kept = first.finished[0]
	run, err = b.Start(t.Context(), call("1"))
	require.NoError(t, err)
	defer run.Close()
	var text string
	got, err := run.Stream(t.Context(), func(s string) error { text += s; return nil })
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, "tt", text)
	require.NotContains(t, b.noted, "run")
	require.Equal(t, []ident.Tokens{0}, b.settled)
}

func TestPlainCalls(t *testing.T) {
	b := newBench(t)
	for name, tc := range map[string]struct {
		method, path, key string
		route             ident.RouteID
		idempotent        bool
		code              Code
	}{
		"idempotent":       {"GET", "/visits/1", "1", "visits", true, ""},
		"not idempotent":   {"POST", "/visits", "1", "visits", false, ""},
		"longest prefix":   {"GET", "/visits/new", "1", "visitsNew", false, ""},
		"part of a name":   {"GET", "/visitsX", "1", "", false, CodeRouteNotFound},
		"another team":     {"GET", "/visits", "2", "", false, CodeRouteNotFound},
		"no key":           {"GET", "/visits", "", "", false, CodeKeyMissing},
		"path of a model":  {"GET", "/free", "1", "", false, CodeRouteNotFound},
		"nothing is there": {"GET", "/", "1", "", false, CodeRouteNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			run, err := b.StartPlain(t.Context(), &PlainRequest{RequestID: "q", Credentials: credentials(tc.key), Method: tc.method, Path: tc.path})
			if tc.code != "" {
				requireCode(t, err, tc.code, NotRun)
				return
			}
			require.NoError(t, err)
			defer run.Close()
			require.Equal(t, tc.route, run.Route.ID)
			require.Equal(t, tc.idempotent, run.Idempotent)
			require.EqualValues(t, "survey", run.Organisation)
		})
	}
	require.Zero(t, b.OpenRequests())
}

func TestCloseWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		run, err := b.Start(context.Background(), call("1"))
		require.NoError(t, err)
		b.Drain()
		go func() {
			time.Sleep(time.Second)
			_, _ = run.Stream(context.Background(), ignore)
			run.Close()
		}()
		began := time.Now()
		b.Close()
		require.Equal(t, time.Second, time.Since(began))
		require.Contains(t, b.noted, "run", "a request that began before the drain runs to its end")
	})
}

func TestALeaseWithoutASnapshotIsAViolation(t *testing.T) {
	b, seen := newBench(t), violations(t)
	b.loaded = false
	_, err := b.Start(t.Context(), call("1"))
	requireCode(t, err, CodeNoLease, NotRun)
	require.Equal(t, []guard.Invariant{guard.WarmRestart}, *seen)
}

func TestNotRunAfterTokensIsAViolation(t *testing.T) {
	b, seen := newBench(t), violations(t)
	b.run = func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		_, _ = twoTokens(req, emit)
		return nil, &Error{Code: CodeUpstreamFailed, RunStatus: NotRun}
	}
	run, err := b.Start(t.Context(), call("1"))
	require.NoError(t, err)
	defer run.Close()
	_, err = run.Stream(t.Context(), ignore)
	require.Error(t, err)
	require.Equal(t, []guard.Invariant{guard.NotRunTrue}, *seen)
}

func TestDispatchForAnotherOrganisationIsAViolation(t *testing.T) {
	b := newBench(t)
	chat, _ := b.state.Route("chat")
	withdrawn := newBench(t)
	withdrawn.withdraw(t)
	cases := map[string]struct {
		state  *config.State
		key    string
		caller Caller
		want   []guard.Invariant
	}{
		"own":            {b.state, "1", Caller{Organisation: "survey"}, nil},
		"another":        {b.state, "1", Caller{Organisation: "audit"}, []guard.Invariant{guard.OrganisationIsolated}},
		"no key":         {b.state, "", Caller{Organisation: "survey"}, []guard.Invariant{guard.OrganisationIsolated}},
		"not open":       {b.state, "", Caller{}, []guard.Invariant{guard.OrganisationIsolated}},
		"withdrawn":      {withdrawn.state, "1", Caller{Organisation: "survey"}, []guard.Invariant{guard.KeyWithdrawn}},
		"key is unknown": {b.state, "9", Caller{Organisation: "survey"}, []guard.Invariant{guard.OrganisationIsolated, guard.KeyWithdrawn}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			seen := violations(t)
			checkDispatch(tc.state, credentials(tc.key), tc.caller, chat)
			require.ElementsMatch(t, tc.want, *seen)
		})
	}
}
