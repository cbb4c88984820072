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

// TestStartRefuses checks the code of each refusal before a run, and that the request neither runs nor stays open.
func TestStartRefuses(t *testing.T) {
	cases := map[string]struct {
		key    string
		change func(*testing.T, *testService, *CompletionRequest)
		code   Code
	}{
		"no key":              {"", nil, CodeKeyMissing},
		"unknown key":         {"9", nil, CodeKeyInvalid},
		"withdrawn key":       {"1", func(t *testing.T, s *testService, _ *CompletionRequest) { t.Helper(); s.withdrawKey(t) }, CodeKeyWithdrawn},
		"another team's key":  {"2", nil, CodeModelNotFound},
		"unknown model":       {"1", func(_ *testing.T, _ *testService, c *CompletionRequest) { c.Model = "n" }, CodeModelNotFound},
		"unknown path":        {"1", func(_ *testing.T, _ *testService, c *CompletionRequest) { c.PathPrefix = "/freely" }, CodeRouteNotFound},
		"plain path":          {"1", func(_ *testing.T, _ *testService, c *CompletionRequest) { c.PathPrefix = "/visits" }, CodeRouteNotFound},
		"bad key, open route": {"9", func(_ *testing.T, _ *testService, c *CompletionRequest) { c.PathPrefix = "/free" }, CodeKeyInvalid},
		"no lease":            {"1", func(_ *testing.T, s *testService, _ *CompletionRequest) { s.hasLease = false }, CodeNoLease},
		"draining":            {"1", func(_ *testing.T, s *testService, _ *CompletionRequest) { s.Drain() }, CodeDraining},
		"rate limited":        {"1", func(_ *testing.T, s *testService, _ *CompletionRequest) { s.admitError = &Error{Code: CodeRateLimited} }, CodeRateLimited},
		"disabled organisation": {"1", func(t *testing.T, s *testService, _ *CompletionRequest) {
			t.Helper()
			s.applyRecords(t, &config.Organisation{ID: "survey", Team: "alder", Rate: 10, Burst: 100, Disabled: true})
		}, CodeOrganisationDisabled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, c := newTestService(t), newRequest(tc.key)
			if tc.change != nil {
				tc.change(t, s, c)
			}
			_, err := s.Start(t.Context(), c)
			requireCode(t, err, tc.code, NotRun)
			require.NotContains(t, s.calls, "run")
			require.Zero(t, s.OpenRequests())
		})
	}
}

// TestAdmissionOrder guards against claiming an idempotency key, or choosing a version, for a request that the rate limit
// refuses.
func TestAdmissionOrder(t *testing.T) {
	s := newTestService(t)
	run, err := s.Start(t.Context(), newRequest("1"))
	require.NoError(t, err)
	result, err := run.Stream(t.Context(), discard)
	require.NoError(t, err)
	run.Close()
	require.EqualValues(t, 2, result.OutputTokens)
	require.Equal(t, []string{"admit", "claim", "version", "run"}, s.calls)
}

// TestOpenRouteRunsWithoutAnOrganisation guards against refusing or charging requests without a key on an open route. They
// can't use an idempotency key, since claims belong to an organisation.
func TestOpenRouteRunsWithoutAnOrganisation(t *testing.T) {
	s, c := newTestService(t), newRequest("")
	c.PathPrefix, c.MaxTokens = "/free", 0
	_, err := s.Start(t.Context(), c)
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, CodeKeyMissing, refusal.Code, "no organisation owns the idempotency key")

	c.IdempotencyKey = ""
	var asked extern.EngineRequest
	s.runFunc = func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		asked = req
		return twoTokens(req, emit)
	}
	run, err := s.Start(t.Context(), c)
	require.NoError(t, err)
	defer run.Close()
	_, err = run.Stream(t.Context(), discard)
	require.NoError(t, err)
	require.Empty(t, run.Organisation())
	require.EqualValues(t, defaultMaxTokens, asked.MaxTokens)
	require.NotContains(t, s.calls, "admit")
}

// TestChangesDuringAdmissionRefuse guards against running a request whose key or serving lease became invalid while it
// waited for the rate limit, and against keeping its reservation and claim.
func TestChangesDuringAdmissionRefuse(t *testing.T) {
	cases := map[string]struct {
		change func(*testing.T, *testService)
		code   Code
	}{
		"key withdrawn": {func(t *testing.T, s *testService) { t.Helper(); s.withdrawKey(t) }, CodeKeyWithdrawn},
		"lease expired": {func(_ *testing.T, s *testService) { s.hasLease = false }, CodeNoLease},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestService(t)
			s.duringAdmit = func() { tc.change(t, s) }
			_, err := s.Start(t.Context(), newRequest("1"))
			requireCode(t, err, tc.code, NotRun)
			require.Equal(t, []ident.Tokens{0}, s.settledTokens, "the reservation is refunded")
			require.Equal(t, []*StoredResponse{nil}, s.finishedClaims, "the claim is released")
		})
	}
}

// TestKeyWithdrawalDuringAStream checks that a stream is cut or finished when its key is withdrawn, as the route says.
func TestKeyWithdrawalDuringAStream(t *testing.T) {
	for action, cut := range map[config.WithdrawalAction]bool{config.WithdrawalCut: true, config.WithdrawalFinish: false} {
		t.Run(string(action), func(t *testing.T) {
			s := newTestService(t)
			s.applyRecords(t, &config.Route{ID: "chat", Team: "alder", Kind: config.RouteModel, Model: "m", OnKeyWithdrawal: action})
			run, err := s.Start(t.Context(), newRequest("1"))
			require.NoError(t, err)
			defer run.Close()
			_, err = run.Stream(t.Context(), func(string) error {
				if s.state.Offset() == run.checkedState.Load().Offset() {
					s.withdrawKey(t)
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

// TestTokensAndClaimsAreSettledOnce guards against charging a request twice, charging one that did not run, and releasing
// the claim of a request that may have run.
func TestTokensAndClaimsAreSettledOnce(t *testing.T) {
	prompt := prefix.TokensOf(newRequest("1").Prompt)
	failing := func(status RunStatus, tokens int) func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		return func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
			for i := range ident.Tokens(tokens) {
				_ = emit(&extern.EngineChunk{Request: req.Request, Index: i, Count: 1})
			}
			return nil, &Error{Code: CodeUpstreamFailed, RunStatus: status}
		}
	}
	cases := map[string]struct {
		run  func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error)
		want ident.Tokens
		// stored is the number of stored responses, released reports whether the claim is released.
		stored   int
		released bool
	}{
		"complete":      {twoTokens, prompt + 2, 1, false},
		"failed midway": {failing(MayHaveRun, 1), prompt + 1, 0, false},
		"not run":       {failing(NotRun, 0), 0, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestService(t)
			s.runFunc = tc.run
			run, err := s.Start(t.Context(), newRequest("1"))
			require.NoError(t, err)
			_, _ = run.Stream(t.Context(), discard)
			run.Close()
			run.Close()
			require.Equal(t, []ident.Tokens{tc.want}, s.settledTokens)
			require.Zero(t, s.OpenRequests())
			switch {
			case tc.released:
				require.Equal(t, []*StoredResponse{nil}, s.finishedClaims)
			case tc.stored == 0:
				require.Empty(t, s.finishedClaims, "a claim whose outcome is unknown stays")
			default:
				require.Len(t, s.finishedClaims, tc.stored)
				require.NotNil(t, s.finishedClaims[0])
			}
		})
	}
}

// TestRepeatGetsTheStoredResponse guards against running or charging a repeat of a request with an idempotency key.
func TestRepeatGetsTheStoredResponse(t *testing.T) {
	first := newTestService(t)
	run, err := first.Start(t.Context(), newRequest("1"))
	require.NoError(t, err)
	want, err := run.Stream(t.Context(), discard)
	require.NoError(t, err)
	run.Close()

	s := newTestService(t)
	s.stored = first.finishedClaims[0]
	run, err = s.Start(t.Context(), newRequest("1"))
	require.NoError(t, err)
	defer run.Close()
	var text string
	got, err := run.Stream(t.Context(), func(piece string) error { text += piece; return nil })
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, "tt", text)
	require.NotContains(t, s.calls, "run")
	require.Equal(t, []ident.Tokens{0}, s.settledTokens)
}

// TestStartPlain checks the route, idempotency and refusals of requests to plain services.
func TestStartPlain(t *testing.T) {
	s := newTestService(t)
	for name, tc := range map[string]struct {
		method, path, key string
		route             ident.RouteID
		idempotent        bool
		code              Code
	}{
		"idempotent":      {"GET", "/visits/1", "1", "visits", true, ""},
		"not idempotent":  {"POST", "/visits", "1", "visits", false, ""},
		"longest prefix":  {"GET", "/visits/new", "1", "visitsNew", false, ""},
		"partial segment": {"GET", "/visitsX", "1", "", false, CodeRouteNotFound},
		"another team":    {"GET", "/visits", "2", "", false, CodeRouteNotFound},
		"no key":          {"GET", "/visits", "", "", false, CodeKeyMissing},
		"model route":     {"GET", "/free", "1", "", false, CodeRouteNotFound},
		"unknown path":    {"GET", "/", "1", "", false, CodeRouteNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			run, err := s.StartPlain(t.Context(), &PlainRequest{RequestID: "q", Credentials: credentials(tc.key), Method: tc.method, Path: tc.path})
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
	require.Zero(t, s.OpenRequests())
}

// TestCloseWaitsForRunningRequests guards against a drain that cuts requests which started before it.
func TestCloseWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService(t)
		run, err := s.Start(context.Background(), newRequest("1"))
		require.NoError(t, err)
		s.Drain()
		go func() {
			time.Sleep(time.Second)
			_, _ = run.Stream(context.Background(), discard)
			run.Close()
		}()
		start := time.Now()
		s.Close()
		require.Equal(t, time.Second, time.Since(start))
		require.Contains(t, s.calls, "run", "a request that started before the drain completes")
	})
}

// TestLeaseWithoutSnapshotIsAViolation guards against a daemon that accepts requests before it has loaded a snapshot.
func TestLeaseWithoutSnapshotIsAViolation(t *testing.T) {
	s, violated := newTestService(t), captureViolations(t)
	s.hasSnapshot = false
	_, err := s.Start(t.Context(), newRequest("1"))
	requireCode(t, err, CodeNoLease, NotRun)
	require.Equal(t, []guard.Invariant{guard.WarmRestart}, *violated)
}

// TestNotRunAfterTokensIsAViolation guards against a runner that reports a request as not run after emitting tokens, which
// would refund the tokens and let a repeat run again.
func TestNotRunAfterTokensIsAViolation(t *testing.T) {
	s, violated := newTestService(t), captureViolations(t)
	s.runFunc = func(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
		_, _ = twoTokens(req, emit)
		return nil, &Error{Code: CodeUpstreamFailed, RunStatus: NotRun}
	}
	run, err := s.Start(t.Context(), newRequest("1"))
	require.NoError(t, err)
	defer run.Close()
	_, err = run.Stream(t.Context(), discard)
	require.Error(t, err)
	require.Equal(t, []guard.Invariant{guard.NotRunTrue}, *violated)
}

// TestDispatchForAnotherOrganisationIsAViolation guards against running a request for another organisation than that of its
// key, or with a withdrawn key.
func TestDispatchForAnotherOrganisationIsAViolation(t *testing.T) {
	s := newTestService(t)
	chat, _ := s.state.Route("chat")
	withdrawn := newTestService(t)
	withdrawn.withdrawKey(t)
	cases := map[string]struct {
		state  *config.State
		key    string
		caller Caller
		want   []guard.Invariant
	}{
		"own organisation":     {s.state, "1", Caller{Organisation: "survey"}, nil},
		"another organisation": {s.state, "1", Caller{Organisation: "audit"}, []guard.Invariant{guard.OrganisationIsolated}},
		"no key":               {s.state, "", Caller{Organisation: "survey"}, []guard.Invariant{guard.OrganisationIsolated}},
		"route not open":       {s.state, "", Caller{}, []guard.Invariant{guard.OrganisationIsolated}},
		"withdrawn key":        {withdrawn.state, "1", Caller{Organisation: "survey"}, []guard.Invariant{guard.KeyWithdrawn}},
		"unknown key":          {s.state, "9", Caller{Organisation: "survey"}, []guard.Invariant{guard.OrganisationIsolated, guard.KeyWithdrawn}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			violated := captureViolations(t)
			checkDispatch(tc.state, credentials(tc.key), tc.caller, chat)
			require.ElementsMatch(t, tc.want, *violated)
		})
	}
}
