package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against over-admission that goes unnoticed, or is reported for admissions that are within rate and burst, of
// another organisation or recorded out of order.
func TestReplayAdmissionsFindsLargestExcess(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name string
		list []admission
		over ident.Tokens
	}{
		{"no admissions", nil, 0},
		{"whole burst at once", []admission{{"a", at(0), 50}, {"a", at(0), 50}}, 0},
		{"one token over the burst", []admission{{"a", at(0), 50}, {"a", at(0), 51}}, 1},
		{"after the refill", []admission{{"a", at(0), 100}, {"a", at(500), 50}}, 0},
		{"before the refill", []admission{{"a", at(0), 100}, {"a", at(400), 50}}, 10},
		{"another organisation", []admission{{"a", at(0), 100}, {"b", at(0), 100}}, 0},
		{"out of order", []admission{{"a", at(500), 50}, {"a", at(0), 100}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.over, replayAdmissions(tc.list, "a", 100, 100).maxExcess)
		})
	}
}

// Guards against requests that overtake waiting ones, and against tokens charged for requests that are not admitted.
func TestIdealBucketAdmitsInOrderOfArrival(t *testing.T) {
	start := time.Unix(100, 0)
	b := &idealBucket{rate: 100, burst: 100, maxWait: time.Second}
	require.Zero(t, b.wait(start, 100))
	require.Equal(t, 500*time.Millisecond, b.wait(start, 50))
	require.Equal(t, 900*time.Millisecond, b.wait(start.Add(100*time.Millisecond), 50))
	require.Greater(t, b.wait(start.Add(100*time.Millisecond), 50), time.Second, "longer than maxWait")
	require.Zero(t, b.wait(start.Add(5*time.Second), 100), "the request that was not admitted used no tokens")
}

func TestUnionCacheEvictsLeastRecentlyUsed(t *testing.T) {
	u := &unionCache{capacity: 4, idleTTL: time.Second, lastUsed: map[ident.BlockHash]time.Duration{}}
	require.Zero(t, u.lookupAndInsert([]ident.BlockHash{1, 2}, 0))
	require.Equal(t, 2, u.lookupAndInsert([]ident.BlockHash{1, 2, 3}, 10*time.Millisecond))
	u.lookupAndInsert([]ident.BlockHash{7, 8, 9}, 20*time.Millisecond)
	require.Len(t, u.lastUsed, 4)
	require.Zero(t, u.lookupAndInsert([]ident.BlockHash{7}, 2*time.Second), "unused for longer than idleTTL")
}

func TestTraceIsRepeatableForSeed(t *testing.T) {
	p := Profiles()["spogulis"]
	first, again := makeTrace(&p, 3, time.Second), makeTrace(&p, 3, time.Second)
	require.NotEmpty(t, first)
	require.Equal(t, len(first), len(again))
	for i := range first {
		require.Equal(t, first[i].at, again[i].at)
		require.Equal(t, first[i].request, again[i].request)
	}
	require.NotEqual(t, first[0].at, makeTrace(&p, 4, time.Second)[0].at)
}
