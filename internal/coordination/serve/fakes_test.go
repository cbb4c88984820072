package serve

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// testService is a Service whose lease, limiter, claimer, versions and runner are fakes that record the order of calls.
type testService struct {
	Service
	state         *config.State
	hasLease      bool
	hasSnapshot   bool
	calls         []string
	settledTokens []ident.Tokens
	stored        *StoredResponse
	// finishedClaims lists the responses passed to Finish; nil for a released claim.
	finishedClaims []*StoredResponse
	admitError     error
	// duringAdmit is called while the request waits for the rate limit.
	duringAdmit func()
	runFunc     func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error)
}

func newTestService(t *testing.T) *testService {
	t.Helper()
	s := &testService{hasLease: true, hasSnapshot: true, runFunc: twoTokens, state: config.NewState()}
	s.applyRecords(t,
		&config.Version{ID: "v1", Model: "m", Weights: "w1"},
		&config.Model{ID: "m", CurrentVersion: "v1", BlockTokens: 1024},
		&config.Upstream{ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:2"},
		&config.Route{ID: "chat", Team: "alder", Kind: config.RouteModel, Model: "m", OnKeyWithdrawal: config.WithdrawalCut},
		&config.Route{ID: "free", Team: "alder", Kind: config.RouteModel, Model: "m", PathPrefix: "/free", Open: true, OnKeyWithdrawal: config.WithdrawalFinish},
		&config.Route{ID: "visits", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/visits", Upstreams: []ident.UpstreamID{"p1"}, IdempotentMethods: []string{"GET"}, OnKeyWithdrawal: config.WithdrawalFinish},
		&config.Route{ID: "visitsNew", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/visits/new", Upstreams: []ident.UpstreamID{"p1"}, OnKeyWithdrawal: config.WithdrawalFinish},
		&config.Organisation{ID: "survey", Team: "alder", Rate: 10, Burst: 100},
		&config.Organisation{ID: "audit", Team: "birch", Rate: 10, Burst: 100},
		&config.Key{ID: "k1", Team: "alder", Organisation: "survey", Digest: ident.DigestOf("1")},
		&config.Key{ID: "k2", Team: "birch", Organisation: "audit", Digest: ident.DigestOf("2")},
	)
	s.Service = Service{
		State: func() *config.State { return s.state }, Ready: func() bool { return s.hasSnapshot },
		Lease: s, Limits: s, Claims: s, Versions: s, Runner: s,
		MaxAdmitWait: time.Second, RequestTimeout: time.Minute, PromptHeadBytes: 8,
	}
	return s
}

// applyRecords applies the entities to the configuration state.
func (s *testService) applyRecords(t *testing.T, entities ...config.Entity) {
	t.Helper()
	for _, e := range entities {
		path := config.PathOf(e)
		id := ident.RecordID("r" + string(path)[max(0, len(path)-40):])
		next, err := s.state.Apply(s.state.Offset()+1, config.NewRecord(id, "operator", s.state.Revision(path), e))
		require.NoError(t, err)
		s.state = next
	}
}

// withdrawKey withdraws the key of organisation survey.
func (s *testService) withdrawKey(t *testing.T) {
	t.Helper()
	s.applyRecords(t, &config.Key{ID: "k1", Team: "alder", Organisation: "survey", Digest: ident.DigestOf("1"), Withdrawn: true})
}

func (s *testService) Valid() bool { return s.hasLease }

func (s *testService) Admit(context.Context, ident.OrganisationID, ident.Tokens) (Reservation, error) {
	s.calls = append(s.calls, "admit")
	if s.duringAdmit != nil {
		s.duringAdmit()
	}
	if s.admitError != nil {
		return nil, s.admitError
	}
	return s, nil
}

func (s *testService) Settle(used ident.Tokens) { s.settledTokens = append(s.settledTokens, used) }

func (s *testService) Cost() ident.Tokens { return 0 }

func (s *testService) ChargedAt() time.Time { return time.Time{} }

func (s *testService) Claim(context.Context, ident.OrganisationID, string, ident.Digest, ident.RequestID) (Claim, error) {
	s.calls = append(s.calls, "claim")
	return Claim{Stored: s.stored}, nil
}

func (s *testService) Finish(_ context.Context, _ ident.OrganisationID, _ string, _ ident.RequestID, response *StoredResponse) {
	s.finishedClaims = append(s.finishedClaims, response)
}

func (s *testService) Version(ident.ModelID, ident.RouteID, ident.OrganisationID, ident.RequestID, uint64) (ident.VersionID, bool) {
	s.calls = append(s.calls, "version")
	return "v1", true
}

func (s *testService) Run(_ context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	s.calls = append(s.calls, "run")
	return s.runFunc(req, emit)
}

// twoTokens is a run that emits two tokens and succeeds.
func twoTokens(req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	for i := range ident.Tokens(2) {
		if err := emit(&extern.EngineChunk{Request: req.Request, Index: i, Count: 1, Text: "t"}); err != nil {
			return nil, err
		}
	}
	return &extern.EngineDone{Request: req.Request, FinishReason: "stop", OutputTokens: 2}, nil
}

func credentials(key string) Credentials {
	return Credentials{HasKey: key != "", KeyDigest: ident.DigestOf(key)}
}

func newRequest(key string) *CompletionRequest {
	return &CompletionRequest{RequestID: "q1", Credentials: credentials(key), Model: "m", Prompt: []byte("12345678"), MaxTokens: 5, IdempotencyKey: "once"}
}

func discard(string) error { return nil }

// captureViolations collects the invariants that are violated until the test ends.
func captureViolations(t *testing.T) *[]guard.Invariant {
	t.Helper()
	violated := &[]guard.Invariant{}
	t.Cleanup(guard.Capture(func(v *guard.ViolationError) { *violated = append(*violated, v.Invariant) }))
	return violated
}

func requireCode(t *testing.T, err error, code Code, status RunStatus) {
	t.Helper()
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, code, refusal.Code)
	require.Equal(t, status, refusal.RunStatus)
}
