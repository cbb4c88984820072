package guard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckReportsOnlyViolations(t *testing.T) {
	var seen []*ViolationError
	defer Capture(func(v *ViolationError) { seen = append(seen, v) })()

	require.True(t, Check(true, RateBound, "unused"))
	require.False(t, Check(false, RateBound, "%d tokens over", 7))

	require.Len(t, seen, 1)
	require.EqualError(t, seen[0], "invariant rateBound violated: 7 tokens over")
}

func TestCheckFailsTheTestBinary(t *testing.T) {
	require.Panics(t, func() { Check(false, AtMostOnce, "ran twice") })
}
