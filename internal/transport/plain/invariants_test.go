package plain

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// captureViolations collects the invariants that are violated until the test ends.
func captureViolations(t *testing.T) *[]guard.Invariant {
	t.Helper()
	seen := &[]guard.Invariant{}
	t.Cleanup(guard.Capture(func(v *guard.ViolationError) { *seen = append(*seen, v.Invariant) }))
	return seen
}

// Guards the last check before a request is sent: it must find a key that the removal from headers and query has missed.
func TestCheckKeyStrippedReportsKeyLeftInRequest(t *testing.T) {
	const key = "sk-caller-secret"
	cases := map[string]struct {
		target, header, value string
		stripped              bool
	}{
		"clean":         {"/visits?day=2", "Content-Type", "text/plain", true},
		"header":        {"/visits", "X-Copy", "k=" + key, false},
		"query":         {"/visits?k=" + key, "", "", false},
		"escaped query": {"/visits?k=%73k-caller-secret", "", "", false},
		"path":          {"/visits/" + key, "", "", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			seen := captureViolations(t)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1"+tc.target, nil)
			require.NoError(t, err)
			req.Header.Set(tc.header, tc.value)
			require.Equal(t, tc.stripped, checkKeyStripped(req, key))
			if tc.stripped {
				require.Empty(t, *seen)
				return
			}
			require.Equal(t, []guard.Invariant{guard.KeyStripped}, *seen)
		})
	}
}

type fixedPicker struct{}

func (fixedPicker) Pick(context.Context, []ident.UpstreamID) (Target, error) {
	return Target{Upstream: "p1", BaseURL: "http://127.0.0.1:1"}, nil
}

// Guards against a wrong retry decision: the second attempt must be refused before anything is sent.
func TestSecondAttemptOfNonIdempotentCallIsAViolation(t *testing.T) {
	seen := captureViolations(t)
	last := &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: "p1"}
	s := call{client: &Client{}, req: &Request{ID: "r1", Method: http.MethodPost, Path: "/visits"}, body: &body{}, mayHaveRun: true, lastErr: last}
	resp, err := s.attempt(t.Context(), fixedPicker{})
	require.Nil(t, resp)
	require.ErrorIs(t, err, last)
	require.Empty(t, s.tried, "no attempt must be made")
	require.Equal(t, []guard.Invariant{guard.AtMostOnce}, *seen)
}
