package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func violations(t *testing.T, f func()) []guard.Invariant {
	t.Helper()
	var seen []guard.Invariant
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
	f()
	return seen
}

func TestUsingMoreThanReservedIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{survey: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		time.Sleep(holdTTL + 10*time.Second)
		r, err := fleet.limiters["d00"].Admit(t.Context(), survey, 10)
		require.NoError(t, err)
		require.Equal(t, []guard.Invariant{guard.RateBound}, violations(t, func() { r.Settle(11) }))
	})
}

func TestABucketAboveItsCapacityIsAViolation(t *testing.T) {
	for name, b := range map[string]*bucket{
		"level above the capacity": {share: share{cap: 10}, level: 11},
		"granted beyond it":        {share: share{cap: 10}, level: 5, outstanding: 6},
		"negative":                 {share: share{cap: 10}, level: -1},
	} {
		require.Equal(t, []guard.Invariant{guard.RateBound}, violations(t, b.check), name)
	}
	require.Empty(t, violations(t, (&bucket{share: share{cap: 10}, level: 4, outstanding: 6}).check))
}
