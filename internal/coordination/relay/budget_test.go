package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetriesKeepTheirBudget(t *testing.T) {
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
