package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// capturedViolations returns the invariants whose violation is reported while f runs.
func capturedViolations(t *testing.T, f func()) []guard.Invariant {
	t.Helper()
	var seen []guard.Invariant
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
	f()
	return seen
}

// Guards against a request that settles more tokens than it reserved: the surplus would never be charged.
func TestSettlingMoreThanReservedViolatesRateBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{testOrg: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		time.Sleep(issuedGrantTTL + 10*time.Second)
		r, err := fleet.limiters["d00"].Admit(t.Context(), testOrg, 10)
		require.NoError(t, err)
		require.Equal(t, []guard.Invariant{guard.RateBound}, capturedViolations(t, func() { r.Settle(11) }))
	})
}

// Guards against a home that could issue more than its share of the burst without a reported violation.
func TestBucketOverCapacityViolatesRateBound(t *testing.T) {
	for name, b := range map[string]*bucket{
		"level above the capacity":            {share: share{capacity: 10}, level: 11},
		"level and grants above the capacity": {share: share{capacity: 10}, level: 5, outstanding: 6},
		"negative level":                      {share: share{capacity: 10}, level: -1},
	} {
		require.Equal(t, []guard.Invariant{guard.RateBound}, capturedViolations(t, b.checkBound), name)
	}
	require.Empty(t, capturedViolations(t, (&bucket{share: share{capacity: 10}, level: 4, outstanding: 6}).checkBound))
}
