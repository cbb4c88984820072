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

// viewOf is a view of members of which some have answered, each that many seconds ago.
func viewOf(members int, self config.MemberState, recovering bool, ages ...int) *member.View {
	v := &member.View{State: self, Recovering: recovering, Members: make([]member.Peer, members), Applied: config.NewState()}
	for _, age := range ages {
		v.HeartbeatAcks = append(v.HeartbeatAcks, member.HeartbeatAck{Sent: time.Now().Add(-time.Duration(age) * time.Second)})
	}
	return v
}

func TestSupported(t *testing.T) {
	const joined, guest = config.MemberJoined, config.MemberState("")
	for name, c := range map[string]struct {
		view *member.View
		// left is how many seconds the lease has left; 0 if there is none.
		left int
	}{
		"alone":                          {viewOf(1, joined, false), 3},
		"alone, recovering":              {viewOf(1, joined, true), 0},
		"one of two":                     {viewOf(2, joined, false), 3},
		"three, one answer":              {viewOf(3, joined, false, 1), 2},
		"three, no answer":               {viewOf(3, joined, false), 0},
		"three, recovering, two answers": {viewOf(3, joined, true, 0, 2), 1},
		"three, recovering, one answer":  {viewOf(3, joined, true, 0), 0},
		"five, third newest counts":      {viewOf(5, joined, false, 0, 1, 2, 3), 2},
		"four, half":                     {viewOf(4, joined, false, 2), 1},
		"guest of three, one answer":     {viewOf(3, guest, false, 0), 0},
		"guest of three, two answers":    {viewOf(3, guest, false, 0, 1), 2},
		"no members":                     {viewOf(0, guest, false), 0},
		"leaving":                        {viewOf(3, config.MemberLeaving, false, 0), 3},
	} {
		until, ok := WitnessedUntil(c.view)
		require.Equal(t, c.left > 0, ok, name)
		if ok {
			require.InDelta(t, c.left, time.Until(until).Seconds(), 0.5, name)
		}
	}
}

func TestAGrantEndsByEitherClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &grant{until: time.Now().Add(time.Second)}
		require.True(t, g.holds(time.Now()))
		time.Sleep(time.Second)
		require.False(t, g.holds(time.Now()))
	})
	// The monotonic clock stood still while the wall clock went on.
	now := time.Now()
	g := &grant{until: now.Add(time.Second)}
	require.False(t, g.holds(now.Round(0).Add(time.Minute)))
}

func TestWithoutAViewThereIsNoLease(t *testing.T) {
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
				b.Error("lapsed")
			}
		}
	})
}

func TestStatusGivesMilliseconds(t *testing.T) {
	raw, err := json.Marshal(Status{Valid: true, Ground: GroundLog, Remaining: 1500 * time.Millisecond, TailReadAge: -1})
	require.NoError(t, err)
	require.JSONEq(t, `{"valid":true,"ground":"log","remainingMs":1500,"tailReadAgeMs":-1,"witnesses":0,"needed":0,
		"recovering":false,"applied":0}`, string(raw))
}
