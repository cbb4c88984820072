package entry

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a path or query that reaches the upstream in another encoding than the caller's.
func TestRequestTargetIsForwardedAsItCame(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	var mu sync.Mutex
	var targets []string
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		targets = append(targets, r.RequestURI)
		return false
	}})
	d := f.start("d1", nil)
	f.ready(1)
	want := []string{
		"/order/plot|12", "/order/plot%7C12", "/order/a%2Fb/c", "/order/\"x\"", "/order/x?q=a|b&r=%20+", "/order/x?", "/order/%41",
		"/order/(x)!*'", "/order/x;y=1", "/order/^`{}",
	}
	for i, target := range want {
		status, _, whole := rawCall(dialCaller(t, d), target, "r"+string(rune('a'+i)), target)
		require.True(t, whole)
		require.Equal(t, http.StatusOK, status, target)
	}
	require.Equal(t, want, targets)
}
