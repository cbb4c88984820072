package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRetriesStayWithinTheirShareOfRequests guards against retries that multiply an overload: 200 requests that each
// want a retry get one for ten requests and the initial balance.
func TestRetriesStayWithinTheirShareOfRequests(t *testing.T) {
	b := &RetryBudget{MaxBalance: 3}
	const requests, inTen = 200, 10
	retries := 0
	for range requests {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	require.InDelta(t, requests/inTen+3, retries, 1)
}
