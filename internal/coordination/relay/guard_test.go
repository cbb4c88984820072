package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

func TestSayingNotRunAfterTokensIsAViolation(t *testing.T) {
	var seen []guard.Invariant
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
	(&run{delivered: 2, ran: true}).failure(ReasonAttempts, nil)
	require.Empty(t, seen)
	(&run{delivered: 2}).failure(ReasonAttempts, nil)
	require.Equal(t, []guard.Invariant{guard.NotRunTrue}, seen)
}
