package lease

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// newView returns a view with a number of members. Each of ackAges is the age in seconds of a heartbeat that a
// different member has acknowledged.
func newView(members int, self config.MemberState, recovering bool, ackAges ...int) *member.View {
	v := &member.View{State: self, Recovering: recovering, Members: make([]member.Peer, members), Applied: config.NewState()}
	for _, age := range ackAges {
		v.HeartbeatAcks = append(v.HeartbeatAcks, member.HeartbeatAck{Sent: time.Now().Add(-time.Duration(age) * time.Second)})
	}
	return v
}

func TestWitnessedUntil(t *testing.T) {
	const joined, notMember = config.MemberJoined, config.MemberState("")
	for name, c := range map[string]struct {
		view *member.View
		// remaining is how many seconds the lease stays valid; 0 if there is none.
		remaining int
	}{
		"alone":                          {newView(1, joined, false), 3},
		"alone, recovering":              {newView(1, joined, true), 0},
		"two, itself is enough":          {newView(2, joined, false), 3},
		"three, one answer":              {newView(3, joined, false, 1), 2},
		"three, no answer":               {newView(3, joined, false), 0},
		"three, recovering, two answers": {newView(3, joined, true, 0, 2), 1},
		"three, recovering, one answer":  {newView(3, joined, true, 0), 0},
		"five, second newest counts":     {newView(5, joined, false, 0, 1, 2, 3), 2},
		"four, one answer":               {newView(4, joined, false, 2), 1},
		"not a member, one answer":       {newView(3, notMember, false, 0), 0},
		"not a member, two answers":      {newView(3, notMember, false, 0, 1), 2},
		"no members":                     {newView(0, notMember, false), 0},
		"leaving":                        {newView(3, config.MemberLeaving, false, 0), 3},
	} {
		until, ok := WitnessedUntil(c.view)
		require.Equal(t, c.remaining > 0, ok, name)
		if ok {
			require.InDelta(t, c.remaining, time.Until(until).Seconds(), 0.5, name)
		}
	}
}

// While a VM is suspended, its monotonic clock may stand still while the wall clock goes on. The lease must expire by
// whichever clock is ahead.
func TestGrantExpiresByEitherClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &grant{until: time.Now().Add(time.Second)}
		require.True(t, g.validAt(time.Now()))
		time.Sleep(time.Second)
		require.False(t, g.validAt(time.Now()))
	})
	// Only the wall clock has gone on.
	now := time.Now()
	g := &grant{until: now.Add(time.Second)}
	require.False(t, g.validAt(now.Round(0).Add(time.Minute)))
}

func TestNoLeaseBeforeFirstView(t *testing.T) {
	h := &Holder{}
	require.False(t, h.Valid())
	require.True(t, h.NeedsLog())
}

func BenchmarkValid(b *testing.B) {
	h := &Holder{}
	h.grant.Store(&grant{until: time.Now().Add(time.Hour)})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !h.Valid() {
				b.Error("lease has expired")
			}
		}
	})
}

func TestStatusIsEncodedInMilliseconds(t *testing.T) {
	raw, err := json.Marshal(Status{Valid: true, Ground: GroundLog, Remaining: 1500 * time.Millisecond, TailReadAge: -1})
	require.NoError(t, err)
	require.JSONEq(t, `{"valid":true,"ground":"log","remainingMs":1500,"tailReadAgeMs":-1,"witnesses":0,"needed":0,
		"recovering":false,"applied":0}`, string(raw))
}
