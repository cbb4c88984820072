package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const survey ident.OrganisationID = "survey"

func TestAdmitAtOneDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{survey: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		time.Sleep(holdTTL + 10*time.Second)

		r, err := l.Admit(t.Context(), survey, 1000)
		require.NoError(t, err)
		_, err = l.Admit(t.Context(), survey, 500)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonOverRate, refused.Reason)
		require.Equal(t, 5*time.Second, refused.RetryAfter)

		r.Settle(400)
		r.Settle(0)
		_, err = l.Admit(t.Context(), survey, 600)
		require.NoError(t, err)
		_, err = l.Admit(t.Context(), survey, 1)
		require.ErrorAs(t, err, &refused)

		_, err = l.Admit(t.Context(), survey, 1001)
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonAboveBurst, refused.Reason)
		require.Zero(t, refused.RetryAfter)
		_, err = l.Admit(t.Context(), "nobody", 1)
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonUnknownOrganisation, refused.Reason)
	})
}

func TestARequestThatWaitsWhileTheLeaseLapsesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 2*time.Second, map[ident.OrganisationID]Limit{survey: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		var lapsed atomic.Bool
		l.HoldsLease = func() bool { return !lapsed.Load() }
		time.Sleep(holdTTL + 10*time.Second)
		_, err := l.Admit(t.Context(), survey, 1000)
		require.NoError(t, err)

		time.AfterFunc(500*time.Millisecond, func() { lapsed.Store(true) })
		_, err = l.Admit(t.Context(), survey, 100)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused, "tokens were minted after a second, when the lease had lapsed")
		require.Equal(t, ReasonNotServing, refused.Reason)
	})
}

func TestAdmitGathersFromAllHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(8, 0, map[ident.OrganisationID]Limit{survey: {Rate: 100, Burst: 1003}})
		defer fleet.close()
		time.Sleep(holdTTL + 11*time.Second)
		for i, id := range daemonIDs(8) {
			start := time.Now()
			r, err := fleet.limiters[id].Admit(t.Context(), survey, 1003)
			require.NoError(t, err, "daemon %d", i)
			require.LessOrEqual(t, time.Since(start), 2*oneWay)
			r.Settle(0)
			time.Sleep(time.Second)
		}
	})
}

func TestWaitingIsInOrderAndOnlyWhenItHelps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, state := newFleet(8, 2*time.Second, map[ident.OrganisationID]Limit{survey: {Rate: 1000, Burst: 1000}})
		defer fleet.close()
		guest := awayFrom(state, survey)
		time.Sleep(holdTTL + 2*time.Second)
		l := fleet.limiters[guest]
		_, err := l.Admit(t.Context(), survey, 1000)
		require.NoError(t, err)

		var order []int
		var mu sync.Mutex
		var wg sync.WaitGroup
		start := time.Now()
		for i, cost := range []ident.Tokens{900, 100, 100} {
			wg.Go(func() {
				_, admitErr := l.Admit(t.Context(), survey, cost)
				mu.Lock()
				defer mu.Unlock()
				require.NoError(t, admitErr)
				order = append(order, i)
			})
			time.Sleep(10 * time.Millisecond)
		}
		before := time.Now()
		_, err = l.Admit(t.Context(), survey, 1000)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Less(t, time.Since(before), 100*time.Millisecond)
		require.Greater(t, refused.RetryAfter, 1900*time.Millisecond)
		wg.Wait()
		require.Equal(t, []int{0, 1, 2}, order)
		require.Less(t, time.Since(start), 1300*time.Millisecond)
	})
}

func TestCancelledWaiterIsChargedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, time.Minute, map[ident.OrganisationID]Limit{survey: {Rate: 10, Burst: 100}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		time.Sleep(holdTTL + 10*time.Second)
		_, err := l.Admit(t.Context(), survey, 100)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = l.Admit(ctx, survey, 100)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonCancelled, refused.Reason)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(9 * time.Second)
		_, err = l.Admit(t.Context(), survey, 100)
		require.NoError(t, err)
	})
}

// awayFrom returns a daemon that is no home of the organisation.
func awayFrom(s *world, org ident.OrganisationID) ident.DaemonID {
	homes := s.Homes(org)
	for _, d := range s.members {
		if !contains(homes, d) {
			return d
		}
	}
	return ""
}

func contains(ids []ident.DaemonID, id ident.DaemonID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
