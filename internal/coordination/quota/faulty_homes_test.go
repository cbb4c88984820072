package quota

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// homeLeavesScript spends all tokens of the fleet before and after a home leaves.
func homeLeavesScript(home int) []action {
	return []action{
		{kind: actSpendAll, daemon: (home + 1) % simulatedDaemons},
		{kind: actLeave, daemon: home},
		{kind: actSleep, wait: inForceDelay + 2*time.Second},
		{kind: actSpendAll, daemon: (home + 1) % simulatedDaemons},
	}
}

// lateSettlementScript settles requests that used nothing after the bucket has been full and spent again.
func lateSettlementScript() []action {
	var script []action
	for daemon := range 3 {
		script = append(script, action{kind: actAdmit, daemon: daemon, tokens: 200, wait: 6 * time.Second})
	}
	return append(script,
		action{kind: actSleep, wait: 5 * time.Second},
		action{kind: actSpendAll},
		action{kind: actSleep, wait: 1500 * time.Millisecond},
		action{kind: actSpendAll})
}

// Guards against a simulation that cannot detect faults: with each faulty home, the script or one of 300 random ones
// must fail.
func TestOracleDetectsFaultyHomes(t *testing.T) {
	firstHome := (&testState{members: daemonIDs(simulatedDaemons), homeCount: 3}).Homes(testOrg)[0]
	home := slices.Index(daemonIDs(simulatedDaemons), firstHome)
	fillWhen := func(when func(l *Limiter) bool) func(*simulation) {
		return func(sim *simulation) {
			sim.mutation = func(_ *simulation, l *Limiter, gainedBucket bool) {
				if gainedBucket && when(l) {
					fillBucket(l)
				}
			}
		}
	}
	mutations := []struct {
		name   string
		limit  Limit
		script []action
		mutate func(*simulation)
	}{
		{
			"gained share starts full", Limit{Rate: 20, Burst: 2000}, homeLeavesScript(home),
			fillWhen(func(l *Limiter) bool { return l.Incarnation == 1 }),
		},
		{
			"restarted home starts full", initialLimit, nil,
			fillWhen(func(l *Limiter) bool { return l.Incarnation > 1 }),
		},
		{
			"returned grant counts twice", initialLimit, nil,
			func(sim *simulation) { sim.afterHandle = countReturnedTwice },
		},
		{
			"transferred tokens stay with the sender", initialLimit, nil,
			func(sim *simulation) { sim.afterHandle = keepTransferredTokens },
		},
		{
			"unused tokens are credited to a bucket that was full", Limit{Rate: 200, Burst: 600}, lateSettlementScript(),
			func(sim *simulation) { sim.afterHandle = clearHistory },
		},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			require.True(t, detectsFault(t, m.limit, m.script, m.mutate), "no run failed")
			if m.script != nil {
				require.Empty(t, runScript(t, 1, m.limit, m.script, nil))
			}
		})
	}
}

// detectsFault reports whether the script, or one of 300 random ones if it is nil, fails.
func detectsFault(t *testing.T, limit Limit, script []action, mutate func(*simulation)) bool {
	t.Helper()
	random := rapid.Custom(drawScript)
	for seed := range 300 {
		candidate := script
		if script == nil {
			candidate = random.Example(seed)
		}
		if runScript(t, uint64(seed), limit, candidate, mutate) != "" {
			return true
		}
	}
	return false
}

func fillBucket(l *Limiter) {
	o := l.orgLimiter(testOrg)
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bucket != nil {
		o.bucket.refilledUntil = time.Now()
		o.bucket.level = o.bucket.capacity - o.bucket.outstanding
	}
}

// countReturnedTwice adds returned and unused tokens to the bucket once more.
func countReturnedTwice(home *Limiter, req *wire.GrantRequest) {
	o := home.orgLimiter(testOrg)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bucket == nil {
		return
	}
	for _, ask := range req.GetAsks() {
		for _, s := range ask.GetSettlements() {
			returnable := toMicroTokens(ident.Tokens(s.GetReturned() + s.GetUnused()))
			o.bucket.level += min(returnable, max(0, o.bucket.capacity-o.bucket.outstanding-o.bucket.level))
		}
	}
}

// countGrantsAsSpent counts all grants as spent as soon as they are issued.
func countGrantsAsSpent(home *Limiter, _ *wire.GrantRequest) {
	o := home.orgLimiter(testOrg)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bucket == nil {
		return
	}
	for _, g := range o.bucket.grants {
		o.bucket.countSpent(g, g.spendable)
	}
}

// Guards against a home that refills in place of granted tokens before they are spent: grants are held unspent while
// the home is asked again for 1 s. A home that does not count its grants must exceed the burst.
func TestUnspentGrantsCountAgainstBurst(t *testing.T) {
	granted := func(afterHandle func(*Limiter, *wire.GrantRequest)) (total int64) {
		synctest.Test(t, func(*testing.T) {
			fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{testOrg: {Rate: 600, Burst: 600}})
			defer fleet.close()
			time.Sleep(issuedGrantTTL + time.Second)
			for i := range uint64(10) {
				req := &wire.GrantRequest{
					DaemonId: "d01", Incarnation: 1, Sequence: i + 1,
					Asks: []*wire.GrantAsk{{OrganisationId: string(testOrg), Tokens: 1000}},
				}
				total += fleet.limiters["d00"].HandleGrant(t.Context(), req).GetAnswers()[0].GetTokens()
				if afterHandle != nil {
					afterHandle(fleet.limiters["d00"], req)
				}
				time.Sleep(grantTTL / 10)
			}
		})
		return total
	}
	require.EqualValues(t, 600, granted(nil))
	require.Greater(t, granted(countGrantsAsSpent), int64(600))
}

// clearHistory drops the record of how full the bucket was.
func clearHistory(home *Limiter, _ *wire.GrantRequest) {
	o := home.orgLimiter(testOrg)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bucket != nil {
		o.bucket.history.peaks = nil
	}
}

// keepTransferredTokens adds transferred tokens to the bucket again.
func keepTransferredTokens(home *Limiter, req *wire.GrantRequest) {
	o := home.orgLimiter(testOrg)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ask := range req.GetAsks() {
		if o.bucket != nil && ask.GetTransferTokens() > 0 {
			o.bucket.level += min(toMicroTokens(ident.Tokens(ask.GetTransferTokens())), o.bucket.freeCapacity())
		}
	}
}
