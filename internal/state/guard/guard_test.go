package guard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckReportsOnlyViolations(t *testing.T) {
	var captured []*ViolationError
	defer Capture(func(v *ViolationError) { captured = append(captured, v) })()

	require.True(t, Check(true, RateBound, "unused"))
	require.False(t, Check(false, RateBound, "%d tokens over", 7))

	require.Len(t, captured, 1)
	require.EqualError(t, captured[0], "invariant rateBound violated: 7 tokens over")
}

func TestCheckPanicsInTests(t *testing.T) {
	require.Panics(t, func() { Check(false, AtMostOnce, "ran twice") })
}
