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

// moveScript drains the fleet before and after a home leaves.
func moveScript(home int) []action {
	return []action{
		{kind: actDrain, daemon: (home + 1) % benchDaemons},
		{kind: actLeave, daemon: home},
		{kind: actSleep, wait: forceGrace + 2*time.Second},
		{kind: actDrain, daemon: (home + 1) % benchDaemons},
	}
}

// lateScript ends requests that used nothing after the bucket has been full and drained again.
func lateScript() []action {
	var script []action
	for daemon := range 3 {
		script = append(script, action{kind: actAdmit, daemon: daemon, tokens: 200, wait: 6 * time.Second})
	}
	return append(script,
		action{kind: actSleep, wait: 5 * time.Second},
		action{kind: actDrain},
		action{kind: actSleep, wait: 1500 * time.Millisecond},
		action{kind: actDrain})
}

// TestFaultyHomesAreFound proves that the check above sees faults: with each mutation one of many runs must fail.
func TestFaultyHomesAreFound(t *testing.T) {
	first := (&world{members: daemonIDs(benchDaemons), homes: 3}).Homes(survey)[0]
	home := slices.Index(daemonIDs(benchDaemons), first)
	fillWhen := func(when func(l *Limiter) bool) func(*bench) {
		return func(b *bench) {
			b.mutation = func(_ *bench, l *Limiter, gained bool) {
				if gained && when(l) {
					fill(l)
				}
			}
		}
	}
	mutations := []struct {
		name   string
		limit  Limit
		script []action
		mutate func(*bench)
	}{
		{"gained share starts full", Limit{Rate: 20, Burst: 2000}, moveScript(home), fillWhen(func(l *Limiter) bool { return l.Incarnation == 1 })},
		{"restarted home starts full", randomLimit, nil, fillWhen(func(l *Limiter) bool { return l.Incarnation > 1 })},
		{"returned grant counts twice", randomLimit, nil, func(b *bench) { b.after = countTwice }},
		{"transferred tokens stay with the sender", randomLimit, nil, func(b *bench) { b.after = keepTransfers }},
		{"unused tokens are credited to a bucket that was full", Limit{Rate: 200, Burst: 600}, lateScript(), func(b *bench) { b.after = forgetHistory }},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			require.True(t, found(t, m.limit, m.script, m.mutate), "no run failed")
			if m.script != nil {
				require.Empty(t, run(t, 1, m.limit, m.script, nil))
			}
		})
	}
}

// found tells whether the script, or one of many random ones, fails.
func found(t *testing.T, limit Limit, script []action, mutate func(*bench)) bool {
	t.Helper()
	random := rapid.Custom(drawScript)
	for seed := range 300 {
		tried := script
		if script == nil {
			tried = random.Example(seed)
		}
		if run(t, uint64(seed), limit, tried, mutate) != "" {
			return true
		}
	}
	return false
}

// fill makes the bucket of a limiter full.
func fill(l *Limiter) {
	e := l.entry(survey)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket != nil {
		e.bucket.last = time.Now()
		e.bucket.level = e.bucket.cap - e.bucket.outstanding
	}
}

// countTwice gives returned tokens to the bucket once more.
func countTwice(home *Limiter, req *wire.GrantRequest) {
	e := home.entry(survey)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket == nil {
		return
	}
	for _, ask := range req.GetAsks() {
		for _, s := range ask.GetSettlements() {
			back := toMicro(ident.Tokens(s.GetReturned() + s.GetUnused()))
			e.bucket.level += min(back, max(0, e.bucket.cap-e.bucket.outstanding-e.bucket.level))
		}
	}
}

// forgetGrants takes grants for spent at once.
func forgetGrants(home *Limiter, _ *wire.GrantRequest) {
	e := home.entry(survey)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket == nil {
		return
	}
	for _, g := range e.bucket.grants {
		e.bucket.release(g, g.held)
	}
}

// TestUnspentGrantsAreWithinTheBurst holds grants without spending them and asks again after the bucket could have been
// refilled. A home that does not count grants must fail.
func TestUnspentGrantsAreWithinTheBurst(t *testing.T) {
	granted := func(after func(*Limiter, *wire.GrantRequest)) (total int64) {
		synctest.Test(t, func(*testing.T) {
			fleet, _ := newFleet(1, 0, map[ident.OrganisationID]Limit{survey: {Rate: 600, Burst: 600}})
			defer fleet.close()
			time.Sleep(holdTTL + time.Second)
			for i := range uint64(10) {
				req := &wire.GrantRequest{
					DaemonId: "d01", Incarnation: 1, Sequence: i + 1,
					Asks: []*wire.GrantAsk{{OrganisationId: string(survey), Tokens: 1000}},
				}
				total += fleet.limiters["d00"].HandleGrant(t.Context(), req).GetAnswers()[0].GetTokens()
				if after != nil {
					after(fleet.limiters["d00"], req)
				}
				time.Sleep(grantTTL / 10)
			}
		})
		return total
	}
	require.EqualValues(t, 600, granted(nil))
	require.Greater(t, granted(forgetGrants), int64(600))
}

// forgetHistory forgets how full the bucket was.
func forgetHistory(home *Limiter, _ *wire.GrantRequest) {
	e := home.entry(survey)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket != nil {
		e.bucket.history.peaks = nil
	}
}

// keepTransfers gives transferred tokens to the bucket again.
func keepTransfers(home *Limiter, req *wire.GrantRequest) {
	e := home.entry(survey)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ask := range req.GetAsks() {
		if e.bucket != nil && ask.GetTransferTokens() > 0 {
			e.bucket.level += min(toMicro(ident.Tokens(ask.GetTransferTokens())), e.bucket.room())
		}
	}
}
