package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// TestNotRunAfterDeliveredTokensIsAViolation guards against reporting a request as not run after tokens were delivered:
// the caller could repeat it.
func TestNotRunAfterDeliveredTokensIsAViolation(t *testing.T) {
	var violated []guard.Invariant
	defer guard.Capture(func(v *guard.ViolationError) { violated = append(violated, v.Invariant) })()
	(&requestState{delivered: 2, mayHaveRun: true}).newRunError(ReasonAttempts, nil)
	require.Empty(t, violated)
	(&requestState{delivered: 2}).newRunError(ReasonAttempts, nil)
	require.Equal(t, []guard.Invariant{guard.NotRunTrue}, violated)
}
