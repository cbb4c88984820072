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

// splitAt returns a splitter with the test move at a share, past its probes.
func splitAt(p ident.Permille, routes ...ident.RouteID) (*Splitter, *testLog) {
	log := newTestLog(time.Hour, routes...)
	m := log.move()
	m.Share, m.Step = p, 2
	log.put(&m)
	s := &Splitter{}
	s.Update(log.current())
	return s, log
}

func TestShareOfRequests(t *testing.T) {
	for _, p := range []ident.Permille{10, 50, 250, 500} {
		s, _ := splitAt(p)
		got := 0
		for i := range 100_000 {
			if s.Version(SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i))}) == newV {
				got++
			}
		}
		require.InEpsilon(t, float64(p)/1000, float64(got)/100_000, 0.1)
	}
}

// Every daemon gives a request the same version, and what has moved stays moved as the share grows.
func TestSplitIsDeterministicAndGrows(t *testing.T) {
	small, _ := splitAt(50)
	large, _ := splitAt(250)
	again, _ := splitAt(250)
	for i := range 10_000 {
		ask := SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i))}
		require.Equal(t, large.Version(ask), again.Version(ask))
		if small.Version(ask) == newV {
			require.Equal(t, newV, large.Version(ask))
		}
	}
}

// From a quarter on, a light family of prefixes stays on one version; a heavy one is split.
func TestFamiliesStick(t *testing.T) {
	s, _ := splitAt(500)
	seen := map[ident.BlockHash]map[ident.VersionID]int{}
	for i := range 60_000 {
		family := ident.BlockHash(1)
		if i%2 == 0 {
			family = ident.BlockHash(2 + i%1000)
		}
		v := s.Version(SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i)), PrefixHash: family})
		if seen[family] == nil {
			seen[family] = map[ident.VersionID]int{}
		}
		seen[family][v]++
	}
	require.Len(t, seen[1], 2)
	both := 0
	for family, versions := range seen {
		if family != 1 && len(versions) == 2 {
			both++
		}
	}
	require.Less(t, both, len(seen)/10)
}

func TestRoutesOutsideTheMoveStay(t *testing.T) {
	s, log := splitAt(1000, "quote")
	require.Equal(t, oldV, s.Version(SplitKey{Model: testModel, Route: "note", Request: "r"}))
	m := log.move()
	m.State = config.MoveDone
	log.put(&m)
	s.Update(log.current())
	require.Equal(t, newV, s.Version(SplitKey{Model: testModel, Route: "quote", Request: "r"}))
	require.Equal(t, oldV, s.Version(SplitKey{Model: testModel, Route: "note", Request: "r"}))
}

func TestControlGroupAtTheLastStep(t *testing.T) {
	s, _ := splitAt(1000)
	old := 0
	for i := range 100_000 {
		if s.Version(SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i))}) == oldV {
			old++
		}
	}
	require.InEpsilon(t, 0.02, float64(old)/100_000, 0.15)
}

func TestStopEndsSendingAtOnce(t *testing.T) {
	s, _ := splitAt(500)
	require.True(t, s.Sendable(testModel, "quote", newV))
	require.True(t, s.Stop(testMove, "bad"))
	require.False(t, s.Stop(testMove, "bad again"))
	require.True(t, s.Stopped(newV))
	require.Equal(t, "bad", s.StopReason(testMove))
	require.False(t, s.Sendable(testModel, "quote", newV))
	require.Equal(t, oldV, s.FallbackVersion(testModel, "quote", newV))
	for i := range 1000 {
		require.Equal(t, oldV, s.Version(SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i))}))
	}
}

// The invariant is checked where requests are sent: against the stop by this daemon and the take-back in the log.
func TestSendingAfterTheStopViolatesTheInvariant(t *testing.T) {
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
				defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
				s, log := splitAt(500, "quote")
				w := Monitor{Splitter: s}
				at := Target{Model: testModel, Route: "quote", Version: newV}
				stop(s, log)
				time.Sleep(exposureGrace)
				w.Begin(at, 0)
				require.Empty(t, seen)
				time.Sleep(time.Millisecond)
				w.Begin(at, 0)
				require.Len(t, seen, 1)
				require.Equal(t, guard.MoveExposure, seen[0].Invariant)
			})
		})
	}
}

// A daemon sends the first requests to a new version one at a time.
func TestProbesGoOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(time.Hour)
		m := log.move()
		s := &Splitter{}
		s.Update(log.current())
		m.Share = 1
		log.put(&m)
		s.Update(log.current())
		s.allowProbes("d1", []ident.DaemonID{"d1"})
		w := Monitor{Splitter: s}
		probes := 0
		for range firstProbes + 3 {
			sent := 0
			var fl Attempt
			for i := range 50 {
				ask := SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(probes, i))}
				if s.Version(ask) == newV {
					sent++
					fl = w.Begin(Target{Model: testModel, Route: "quote", Version: newV}, 0)
				}
			}
			require.LessOrEqual(t, sent, 2)
			probes += sent
			if sent > 0 {
				fl.End(OutcomeComplete, 0)
			}
		}
		require.GreaterOrEqual(t, probes, firstProbes)
		require.LessOrEqual(t, probes, firstProbes+3)
	})
}

func BenchmarkVersion(b *testing.B) {
	for _, p := range []ident.Permille{0, 50, 500} {
		b.Run(fmt.Sprint(p), func(b *testing.B) {
			s, _ := splitAt(p)
			ask := SplitKey{Model: testModel, Route: "quote", Organisation: "mill", Request: "0f3a9c6b-req", PrefixHash: 77}
			b.ReportAllocs()
			for b.Loop() {
				s.Version(ask)
			}
		})
	}
}

func BenchmarkFlight(b *testing.B) {
	for _, active := range []bool{false, true} {
		b.Run(fmt.Sprintf("move=%t", active), func(b *testing.B) {
			s, log := splitAt(500)
			if !active {
				m := log.move()
				m.State = config.MoveTakenBack
				log.put(&m)
				s.Update(log.current())
			}
			w := Monitor{Splitter: s}
			at := Target{Model: testModel, Route: "quote", Version: oldV, Organisation: "mill", Upstream: "e1"}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					fl := w.Begin(at, 2048)
					fl.FirstToken(2048)
					fl.Tokens(8)
					fl.End(OutcomeComplete, 200)
				}
			})
		})
	}
}
