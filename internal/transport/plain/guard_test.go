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

// violations collects the invariants that break until the test ends.
func violations(t *testing.T) *[]guard.Invariant {
	t.Helper()
	seen := &[]guard.Invariant{}
	t.Cleanup(guard.Capture(func(v *guard.ViolationError) { *seen = append(*seen, v.Invariant) }))
	return seen
}

func TestAKeyThatIsLeftInARequestIsAViolation(t *testing.T) {
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
			seen := violations(t)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1"+tc.target, nil)
			require.NoError(t, err)
			req.Header.Set(tc.header, tc.value)
			require.Equal(t, tc.stripped, checkStripped(req, key))
			if tc.stripped {
				require.Empty(t, *seen)
				return
			}
			require.Equal(t, []guard.Invariant{guard.KeyStripped}, *seen)
		})
	}
}

type onePicker struct{}

func (onePicker) Pick(context.Context, []ident.UpstreamID) (Target, error) {
	return Target{Upstream: "p1", BaseURL: "http://127.0.0.1:1"}, nil
}

func TestASecondRunOfACallThatMayHaveRunIsAViolation(t *testing.T) {
	seen := violations(t)
	last := &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: "p1"}
	s := call{client: &Client{}, req: &Request{ID: "r1", Method: http.MethodPost, Path: "/visits"}, body: &body{}, ran: true, last: last}
	resp, err := s.once(t.Context(), onePicker{})
	require.Nil(t, resp)
	require.ErrorIs(t, err, last)
	require.Empty(t, s.tried, "nothing is sent")
	require.Equal(t, []guard.Invariant{guard.AtMostOnce}, *seen)
}
