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

const testOrg ident.OrganisationID = "survey"

// Guards against wrong refusals or retry times at a single home, and against a second Settle that gives tokens back
// twice.
func TestSingleDaemonAdmitsUpToBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{testOrg: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		time.Sleep(issuedGrantTTL + 10*time.Second)

		r, err := l.Admit(t.Context(), testOrg, 1000)
		require.NoError(t, err)
		_, err = l.Admit(t.Context(), testOrg, 500)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonOverRate, refused.Reason)
		require.Equal(t, 5*time.Second, refused.RetryAfter)

		r.Settle(400)
		r.Settle(0)
		_, err = l.Admit(t.Context(), testOrg, 600)
		require.NoError(t, err)
		_, err = l.Admit(t.Context(), testOrg, 1)
		require.ErrorAs(t, err, &refused)

		_, err = l.Admit(t.Context(), testOrg, 1001)
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonAboveBurst, refused.Reason)
		require.Zero(t, refused.RetryAfter)
		_, err = l.Admit(t.Context(), "nobody", 1)
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonUnknownOrganisation, refused.Reason)
	})
}

// Guards against admission by a daemon whose lease expires while requests wait: another home may already have its
// share.
func TestWaitingRequestIsRefusedWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, 2*time.Second, map[ident.OrganisationID]Limit{testOrg: {Rate: 100, Burst: 1000}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		var expired atomic.Bool
		l.HoldsLease = func() bool { return !expired.Load() }
		time.Sleep(issuedGrantTTL + 10*time.Second)
		_, err := l.Admit(t.Context(), testOrg, 1000)
		require.NoError(t, err)

		time.AfterFunc(500*time.Millisecond, func() { expired.Store(true) })
		_, err = l.Admit(t.Context(), testOrg, 100)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused, "the tokens come only after 1 s, when the lease has expired")
		require.Equal(t, ReasonNotServing, refused.Reason)
	})
}

// Guards against a daemon that cannot spend the whole burst because it misses tokens of some home, or asks the homes
// one after the other.
func TestAdmitCollectsTokensFromAllHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(8, 0, map[ident.OrganisationID]Limit{testOrg: {Rate: 100, Burst: 1003}})
		defer fleet.close()
		time.Sleep(issuedGrantTTL + 11*time.Second)
		for i, id := range daemonIDs(8) {
			start := time.Now()
			r, err := fleet.limiters[id].Admit(t.Context(), testOrg, 1003)
			require.NoError(t, err, "daemon %d", i)
			require.LessOrEqual(t, time.Since(start), 2*oneWayDelay)
			r.Settle(0)
			time.Sleep(time.Second)
		}
	})
}

// Guards against waiters that overtake each other, and against requests that wait although their tokens cannot come
// before their deadline.
func TestRequestsWaitInOrderOnlyIfTokensComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, state := newFleet(8, 2*time.Second, map[ident.OrganisationID]Limit{testOrg: {Rate: 1000, Burst: 1000}})
		defer fleet.close()
		nonHome := nonHomeDaemon(state, testOrg)
		time.Sleep(issuedGrantTTL + 2*time.Second)
		l := fleet.limiters[nonHome]
		_, err := l.Admit(t.Context(), testOrg, 1000)
		require.NoError(t, err)

		var order []int
		var mu sync.Mutex
		var wg sync.WaitGroup
		start := time.Now()
		for i, cost := range []ident.Tokens{900, 100, 100} {
			wg.Go(func() {
				_, admitErr := l.Admit(t.Context(), testOrg, cost)
				mu.Lock()
				defer mu.Unlock()
				require.NoError(t, admitErr)
				order = append(order, i)
			})
			time.Sleep(10 * time.Millisecond)
		}
		before := time.Now()
		_, err = l.Admit(t.Context(), testOrg, 1000)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Less(t, time.Since(before), 100*time.Millisecond)
		require.Greater(t, refused.RetryAfter, 1900*time.Millisecond)
		wg.Wait()
		require.Equal(t, []int{0, 1, 2}, order)
		require.Less(t, time.Since(start), 1300*time.Millisecond)
	})
}

// Guards against a charge for a request whose context ends while it waits.
func TestCancelledWaiterIsChargedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(1, time.Minute, map[ident.OrganisationID]Limit{testOrg: {Rate: 10, Burst: 100}})
		defer fleet.close()
		l := fleet.limiters["d00"]
		time.Sleep(issuedGrantTTL + 10*time.Second)
		_, err := l.Admit(t.Context(), testOrg, 100)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = l.Admit(ctx, testOrg, 100)
		refused := &RefusedError{}
		require.ErrorAs(t, err, &refused)
		require.Equal(t, ReasonCancelled, refused.Reason)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(9 * time.Second)
		_, err = l.Admit(t.Context(), testOrg, 100)
		require.NoError(t, err)
	})
}

// nonHomeDaemon returns a daemon that is not a home of the organisation.
func nonHomeDaemon(s *testState, org ident.OrganisationID) ident.DaemonID {
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
