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

// bench is a service over fakes that note the order of the calls.
type bench struct {
	Service
	state   *config.State
	leased  bool
	loaded  bool
	noted   []string
	settled []ident.Tokens
	kept    *StoredResponse
	// finished are the answers that claims were ended with.
	finished []*StoredResponse
	refuse   error
	// onAdmit runs while the request waits for its rate.
	onAdmit func()
	run     func(extern.EngineRequest, func(*extern.EngineChunk) error) (*extern.EngineDone, error)
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{leased: true, loaded: true, run: twoTokens, state: config.NewState()}
	b.put(t,
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
	b.Service = Service{
		State: func() *config.State { return b.state }, Ready: func() bool { return b.loaded },
		Lease: b, Limits: b, Claims: b, Versions: b, Runner: b,
		MaxAdmitWait: time.Second, RequestTimeout: time.Minute, PromptHeadBytes: 8,
	}
	return b
}

func (b *bench) put(t *testing.T, entities ...config.Entity) {
	t.Helper()
	for _, e := range entities {
		path := config.PathOf(e)
		id := ident.RecordID("r" + string(path)[max(0, len(path)-40):])
		next, err := b.state.Apply(b.state.Offset()+1, config.NewRecord(id, "operator", b.state.Revision(path), e))
		require.NoError(t, err)
		b.state = next
	}
}

func (b *bench) withdraw(t *testing.T) {
	t.Helper()
	b.put(t, &config.Key{ID: "k1", Team: "alder", Organisation: "survey", Digest: ident.DigestOf("1"), Withdrawn: true})
}

func (b *bench) Valid() bool { return b.leased }

func (b *bench) Admit(context.Context, ident.OrganisationID, ident.Tokens) (Reservation, error) {
	b.noted = append(b.noted, "admit")
	if b.onAdmit != nil {
		b.onAdmit()
	}
	if b.refuse != nil {
		return nil, b.refuse
	}
	return b, nil
}

func (b *bench) Settle(used ident.Tokens) { b.settled = append(b.settled, used) }

func (b *bench) Cost() ident.Tokens { return 0 }

func (b *bench) ChargedAt() time.Time { return time.Time{} }

func (b *bench) Claim(context.Context, ident.OrganisationID, string, ident.Digest, ident.RequestID) (Claim, error) {
	b.noted = append(b.noted, "claim")
	return Claim{Stored: b.kept}, nil
}

func (b *bench) Finish(_ context.Context, _ ident.OrganisationID, _ string, _ ident.RequestID, answer *StoredResponse) {
	b.finished = append(b.finished, answer)
}

func (b *bench) Version(ident.ModelID, ident.RouteID, ident.OrganisationID, ident.RequestID, uint64) (ident.VersionID, bool) {
	b.noted = append(b.noted, "version")
	return "v1", true
}

func (b *bench) Run(_ context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	b.noted = append(b.noted, "run")
	return b.run(req, emit)
}

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

func call(key string) *CompletionRequest {
	return &CompletionRequest{RequestID: "q1", Credentials: credentials(key), Model: "m", Prompt: []byte("12345678"), MaxTokens: 5, IdempotencyKey: "once"}
}

func ignore(string) error { return nil }

// violations collects the invariants that break until the test ends.
func violations(t *testing.T) *[]guard.Invariant {
	t.Helper()
	seen := &[]guard.Invariant{}
	t.Cleanup(guard.Capture(func(v *guard.ViolationError) { *seen = append(*seen, v.Invariant) }))
	return seen
}

func requireCode(t *testing.T, err error, code Code, ran RunStatus) {
	t.Helper()
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, code, refusal.Code)
	require.Equal(t, ran, refusal.RunStatus)
}
