package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// memoryLog is a Writer that applies records to an in-memory state immediately, or fails with err.
type memoryLog struct {
	mu    sync.Mutex
	state *config.State
	err   error
}

func (m *memoryLog) State() *config.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *memoryLog) Write(_ context.Context, rec *wire.Record) (ident.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return 0, m.err
	}
	next, err := m.state.Apply(m.state.Offset()+1, rec)
	m.state = next
	return next.Offset(), err
}

// apiClient sends requests with an operator's key.
type apiClient struct {
	t   *testing.T
	url string
	key string
}

// startServer starts a server whose only operator is the bootstrap operator with all roles.
func startServer(t *testing.T) (*memoryLog, *apiClient) {
	t.Helper()
	log := &memoryLog{state: config.NewState()}
	s := &Server{
		State:    log.State,
		Writer:   log,
		Progress: func(offset ident.Offset) Progress { return Progress{Offset: offset, State: StateInForce} },
		Status:   func() any { return map[string]string{"daemon": "d1"} },
		Burn:     func() any { return map[string]string{} },
		Ready:    func() error { return nil },
		BootstrapOperator: &config.Operator{
			ID:        "root",
			KeyDigest: ident.DigestOf("root key"),
			Grants:    []config.RoleGrant{{Subtree: "/", Role: config.RoleAdmin}},
		},
	}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return log, &apiClient{t: t, url: srv.URL, key: "root key"}
}

// call sends a request, decodes the response into v unless it is nil, and returns the status. headers alternates names
// and values.
func (c *apiClient) call(method, path, body string, v any, headers ...string) int {
	c.t.Helper()
	r, err := http.NewRequestWithContext(c.t.Context(), method, c.url+path, strings.NewReader(body))
	require.NoError(c.t, err)
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	if v != nil {
		require.NoError(c.t, json.Unmarshal(raw, v), string(raw))
	}
	return resp.StatusCode
}

type errorResponse struct {
	Error struct {
		Code     Code         `json:"code"`
		Revision ident.Offset `json:"revision"`
	} `json:"error"`
}

const organisationBody = `{"team":"alder","rateTokensPerSecond":1000,"burstTokens":5000}`

// Guards against lost updates: a change without a precondition, or one based on an outdated revision, must be rejected.
func TestChangeRequiresCurrentRevision(t *testing.T) {
	_, c := startServer(t)
	var f errorResponse
	require.Equal(t, http.StatusPreconditionRequired, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, &f))
	require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, nil, "If-None-Match", "*"))
	require.Equal(t, http.StatusConflict, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, &f, "If-None-Match", "*"))
	require.Equal(t, ident.Offset(1), f.Error.Revision, "the conflict must contain the current revision")
	require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, nil, "If-Match", `"1"`))
	require.Equal(t, http.StatusUnprocessableEntity, c.call(http.MethodPut, "/admin/v1/organisations/survey", `{"colour":1}`, &f, "If-Match", `"3"`))
	require.Equal(t, CodeInvalid, f.Error.Code)
}

// Guards against a key secret that can be read after creation, and against a repeated withdrawal that fails.
func TestKeySecretIsReturnedOnceAndWithdrawalIsIdempotent(t *testing.T) {
	log, c := startServer(t)
	c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, nil, "If-None-Match", "*")
	var created struct {
		Secret string `json:"secret"`
	}
	require.Equal(t, http.StatusCreated, c.call(http.MethodPost, "/admin/v1/keys", `{"id":"k1","organisation":"survey"}`, &created))
	key, ok := log.State().KeyByDigest(ident.DigestOf(created.Secret))
	require.True(t, ok)
	require.False(t, key.Withdrawn)

	var read map[string]any
	require.Equal(t, http.StatusOK, c.call(http.MethodGet, "/admin/v1/keys/k1", "", &read))
	require.NotContains(t, read, "secret")

	for range 2 {
		require.Equal(t, http.StatusAccepted, c.call(http.MethodPost, "/admin/v1/keys/k1/withdraw", "", nil))
	}
	key, _ = log.State().KeyByDigest(ident.DigestOf(created.Secret))
	require.True(t, key.Withdrawn)
}

// Guards against privilege escalation: an operator with a role on one team's subtree must neither read nor change other
// subtrees, nor grant roles on them.
func TestOperatorIsLimitedToGrantedSubtree(t *testing.T) {
	_, c := startServer(t)
	c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, nil, "If-None-Match", "*")
	var created struct {
		Secret string `json:"secret"`
	}
	require.Equal(t, http.StatusCreated, c.call(http.MethodPost, "/admin/v1/operators",
		`{"id":"amara","grants":[{"subtree":"/teams/birch","role":"admin"}]}`, &created))
	c.key = created.Secret
	var f errorResponse
	require.Equal(t, http.StatusForbidden, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, &f, "If-Match", `"1"`))
	require.Equal(t, http.StatusNotFound, c.call(http.MethodGet, "/admin/v1/organisations/survey", "", &f), "an entity that the operator may not read must look missing")
	require.Equal(t, http.StatusForbidden, c.call(http.MethodPost, "/admin/v1/operators",
		`{"id":"b","grants":[{"subtree":"/teams/alder","role":"admin"}]}`, &f), "grants must stay within the operator's own")
	birchOrganisation := strings.Replace(organisationBody, "alder", "birch", 1)
	require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/organisations/birchOrg", birchOrganisation, nil, "If-None-Match", "*"))
	require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/settings/teams/birch/settings/retry", `{"n":1}`, nil, "If-None-Match", "*"))
	require.Equal(t, http.StatusForbidden, c.call(http.MethodPut, "/admin/v1/settings/platform/settings/retry", `1`, &f, "If-None-Match", "*"))
}

// Guards against an operation that is registered without authentication; /healthz must need no key.
func TestOperationsRequireOperatorKey(t *testing.T) {
	_, c := startServer(t)
	for _, key := range []string{"", "wrong"} {
		c.key = key
		for _, op := range (&Server{}).operations() {
			path := strings.NewReplacer("{id}", "x", "{path...}", "teams/a/settings/b").Replace(op.path)
			require.Equal(t, http.StatusUnauthorized, c.call(op.method, "/admin/v1"+path, "{}", nil), op.id)
		}
	}
	require.Equal(t, http.StatusOK, c.call(http.MethodGet, "/healthz", "", nil))
}

// When the log service does not respond, the error must contain the record id, by which the operator can find out later
// whether the change took effect.
func TestUnknownOutcomeReturnsRecordID(t *testing.T) {
	log, c := startServer(t)
	log.err = &Error{Code: CodeOutcomeUnknown, RecordID: "r1", Message: "no answer"}
	var f struct {
		Error struct {
			RecordID string `json:"recordId"`
		} `json:"error"`
	}
	require.Equal(t, http.StatusServiceUnavailable, c.call(http.MethodPut, "/admin/v1/organisations/survey", organisationBody, &f, "If-None-Match", "*"))
	require.Equal(t, "r1", f.Error.RecordID)
}

// Guards against actions that the state of the move rules out: resume of a running move, any action after a take-back,
// unknown actions and deadlines in the past.
func TestMoveActionDependsOnMoveState(t *testing.T) {
	_, c := startServer(t)
	for path, body := range map[string]string{
		"versions/girth-1": `{"model":"girth","weights":"a"}`,
		"versions/girth-2": `{"model":"girth","weights":"b"}`,
	} {
		require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/"+path, body, nil, "If-None-Match", "*"), path)
	}
	require.Equal(t, http.StatusAccepted, c.call(http.MethodPut, "/admin/v1/models/girth",
		`{"currentVersion":"girth-1","blockTokens":1000}`, nil, "If-None-Match", "*"))
	move := `{"id":"m1","team":"alder","model":"girth","to":"girth-2","deadline":"2999-01-01T00:00:00Z"}`
	require.Equal(t, http.StatusCreated, c.call(http.MethodPost, "/admin/v1/moves", move, nil))
	cases := []struct {
		body   string
		status int
	}{
		{`{"action":"resume"}`, http.StatusUnprocessableEntity},
		{`{"action":"pause"}`, http.StatusAccepted},
		{`{"action":"resume"}`, http.StatusAccepted},
		{`{"action":"dance"}`, http.StatusUnprocessableEntity},
		{`{"action":"deadline","deadline":"2000-01-01T00:00:00Z"}`, http.StatusUnprocessableEntity},
		{`{"action":"takeBack"}`, http.StatusAccepted},
		{`{"action":"pause"}`, http.StatusUnprocessableEntity},
	}
	for _, tc := range cases {
		require.Equal(t, tc.status, c.call(http.MethodPost, "/admin/v1/moves/m1/actions", tc.body, nil), tc.body)
	}
}
