package moves

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// splitterAtShare returns a splitter with the test move at a share, past its initial probes.
func splitterAtShare(p ident.Permille, routes ...ident.RouteID) (*Splitter, *testLog) {
	log := newTestLog(time.Hour, routes...)
	m := log.move()
	m.Share, m.Step = p, 2
	log.put(&m)
	s := &Splitter{}
	s.Update(log.current())
	return s, log
}

// Guards against a new version that gets more or less than its share of the requests.
func TestNewVersionGetsItsShare(t *testing.T) {
	for _, p := range []ident.Permille{10, 50, 250, 500} {
		s, _ := splitterAtShare(p)
		got := 0
		for i := range 100_000 {
			if s.Version(SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i))}) == newVersion {
				got++
			}
		}
		require.InEpsilon(t, float64(p)/1000, float64(got)/100_000, 0.1)
	}
}

// Guards against daemons that pick different versions for the same request, and against requests that return to the
// old version as the share grows, which would lose their cached prefixes.
func TestSplitIsDeterministicAndMonotonic(t *testing.T) {
	small, _ := splitterAtShare(50)
	large, _ := splitterAtShare(250)
	again, _ := splitterAtShare(250)
	for i := range 10_000 {
		req := SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i))}
		require.Equal(t, large.Version(req), again.Version(req))
		if small.Version(req) == newVersion {
			require.Equal(t, newVersion, large.Version(req))
		}
	}
}

// Guards against light prefixes that are spread over both versions, and so computed and cached twice, at shares from
// 250 ‰ on. A heavy prefix has to be split, or the share would not be met.
func TestLightPrefixesStayOnOneVersion(t *testing.T) {
	s, _ := splitterAtShare(500)
	seen := map[ident.BlockHash]map[ident.VersionID]int{}
	for i := range 60_000 {
		prefix := ident.BlockHash(1)
		if i%2 == 0 {
			prefix = ident.BlockHash(2 + i%1000)
		}
		version := s.Version(SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i)), PrefixHash: prefix})
		if seen[prefix] == nil {
			seen[prefix] = map[ident.VersionID]int{}
		}
		seen[prefix][version]++
	}
	require.Len(t, seen[1], 2)
	both := 0
	for prefix, versions := range seen {
		if prefix != 1 && len(versions) == 2 {
			both++
		}
	}
	require.Less(t, both, len(seen)/10)
}

// Guards against moving routes that a move doesn't name, during the move and after it is done.
func TestRoutesOutsideMoveKeepVersion(t *testing.T) {
	s, log := splitterAtShare(1000, "quote")
	require.Equal(t, oldVersion, s.Version(SplitKey{Model: testModel, Route: "note", RequestID: "r"}))
	m := log.move()
	m.State = config.MoveDone
	log.put(&m)
	s.Update(log.current())
	require.Equal(t, newVersion, s.Version(SplitKey{Model: testModel, Route: "quote", RequestID: "r"}))
	require.Equal(t, oldVersion, s.Version(SplitKey{Model: testModel, Route: "note", RequestID: "r"}))
}

// Guards against a soak without comparison: at the last step 2 % of the requests still go to the old version.
func TestLastStepKeepsControlGroup(t *testing.T) {
	s, _ := splitterAtShare(1000)
	old := 0
	for i := range 100_000 {
		if s.Version(SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i))}) == oldVersion {
			old++
		}
	}
	require.InEpsilon(t, 0.02, float64(old)/100_000, 0.15)
}

// Guards against sends to a version after its stop, also by requests that have been given the version before.
func TestStopEndsSendingImmediately(t *testing.T) {
	s, _ := splitterAtShare(500)
	require.True(t, s.Sendable(testModel, "quote", newVersion))
	require.True(t, s.Stop(testMove, "bad"))
	require.False(t, s.Stop(testMove, "bad again"))
	require.True(t, s.Stopped(newVersion))
	require.Equal(t, "bad", s.StopReason(testMove))
	require.False(t, s.Sendable(testModel, "quote", newVersion))
	require.Equal(t, oldVersion, s.FallbackVersion(testModel, "quote", newVersion))
	for i := range 1000 {
		require.Equal(t, oldVersion, s.Version(SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i))}))
	}
}

// Guards against an invariant that misses sends to a stopped version: it checks every send against the stop by this
// daemon and against the take-back in the log.
func TestSendingAfterStopViolatesInvariant(t *testing.T) {
	stops := map[string]func(*Splitter, *testLog){
		"stop": func(s *Splitter, _ *testLog) { s.Stop(testMove, "bad") },
		"takeBack": func(s *Splitter, log *testLog) {
			m := log.move()
			m.State, m.Share = config.MoveTakenBack, 0
			log.put(&m)
			s.Update(log.current())
		},
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var seen []*guard.ViolationError
				defer guard.Capture(func(violation *guard.ViolationError) { seen = append(seen, violation) })()
				s, log := splitterAtShare(500, "quote")
				monitor := Monitor{Splitter: s}
				target := Target{Model: testModel, Route: "quote", Version: newVersion}
				stop(s, log)
				time.Sleep(exposureGrace)
				monitor.Begin(target, 0)
				require.Empty(t, seen)
				time.Sleep(time.Millisecond)
				monitor.Begin(target, 0)
				require.Len(t, seen, 1)
				require.Equal(t, guard.MoveExposure, seen[0].Invariant)
			})
		})
	}
}

// Guards against a burst of requests to an untested version: a daemon sends the probes one at a time.
func TestProbesAreSentOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(time.Hour)
		m := log.move()
		s := &Splitter{}
		s.Update(log.current())
		m.Share = 1
		log.put(&m)
		s.Update(log.current())
		s.selectProbingDaemons("d1", []ident.DaemonID{"d1"})
		monitor := Monitor{Splitter: s}
		probes := 0
		for range initialProbes + 3 {
			sent := 0
			var attempt Attempt
			for i := range 50 {
				req := SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(probes, i))}
				if s.Version(req) == newVersion {
					sent++
					attempt = monitor.Begin(Target{Model: testModel, Route: "quote", Version: newVersion}, 0)
				}
			}
			require.LessOrEqual(t, sent, 2)
			probes += sent
			if sent > 0 {
				attempt.End(OutcomeComplete, 0)
			}
		}
		require.GreaterOrEqual(t, probes, initialProbes)
		require.LessOrEqual(t, probes, initialProbes+3)
	})
}

func BenchmarkVersion(b *testing.B) {
	for _, p := range []ident.Permille{0, 50, 500} {
		b.Run(fmt.Sprint(p), func(b *testing.B) {
			s, _ := splitterAtShare(p)
			req := SplitKey{Model: testModel, Route: "quote", Organisation: "mill", RequestID: "0f3a9c6b-req", PrefixHash: 77}
			b.ReportAllocs()
			for b.Loop() {
				s.Version(req)
			}
		})
	}
}

func BenchmarkFlight(b *testing.B) {
	for _, active := range []bool{false, true} {
		b.Run(fmt.Sprintf("move=%t", active), func(b *testing.B) {
			s, log := splitterAtShare(500)
			if !active {
				m := log.move()
				m.State = config.MoveTakenBack
				log.put(&m)
				s.Update(log.current())
			}
			monitor := Monitor{Splitter: s}
			target := Target{Model: testModel, Route: "quote", Version: oldVersion, Organisation: "mill", Upstream: "e1"}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					attempt := monitor.Begin(target, 2048)
					attempt.FirstToken(2048)
					attempt.Tokens(8)
					attempt.End(OutcomeComplete, 200)
				}
			})
		})
	}
}
