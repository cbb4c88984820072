package poison

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// requestOf returns a request with this fingerprint and these parts.
func requestOf(fingerprint RequestHash, parts ...Hash) *Request {
	return &Request{Parts: parts, Fingerprint: func() Hash { return 1<<48 + Hash(fingerprint) }}
}

// check checks a request that nothing is known of but its parts.
func check(d *Detector, parts ...Hash) error { return d.Check(requestOf(1<<31, parts...)) }

// crashUnder lets an upstream end under a request with these parts.
func crashUnder(t *testing.T, d *Detector, id ident.UpstreamID, request RequestHash, parts ...Hash) {
	t.Helper()
	crashWithin(t, d, 2*time.Second, id, request, parts...)
}

// crashWithin does the same within a time.
func crashWithin(t *testing.T, d *Detector, took time.Duration, id ident.UpstreamID, request RequestHash, parts ...Hash) {
	t.Helper()
	u := &view.Upstream{ID: id, Incarnation: 1, State: view.UpstreamReady}
	a, err := d.Begin(u, requestOf(request, parts...))
	require.NoError(t, err)
	time.Sleep(took / 2)
	a.End(OutcomeBroken)
	d.MarkRefused(u)
	time.Sleep(took / 2)
	d.Tick()
}

func answer(t *testing.T, d *Detector, request RequestHash, parts ...Hash) {
	t.Helper()
	a, err := d.Begin(&view.Upstream{ID: "sound", Incarnation: 1, State: view.UpstreamReady}, requestOf(request, parts...))
	require.NoError(t, err)
	a.MarkFirstEvent()
	a.End(OutcomeAnswered)
}

func TestPartsOfTheSameRequestsAreToldApartByAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i, id := range []ident.UpstreamID{"a", "b", "c"} {
			crashUnder(t, d, id, RequestHash(i), 1, 2)
		}
		require.Error(t, check(d, 1, 2, 9))
		require.NoError(t, check(d, 1, 9), "one of two suspects alone may be sound")
		answer(t, d, 10, 1, 9)
		require.NoError(t, check(d, 1))
		require.Error(t, check(d, 2), "the other one has caused the crashes")
	})
}

func TestMemberOfSetThatCrashesAloneIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i, id := range []ident.UpstreamID{"a", "b", "c"} {
			crashUnder(t, d, id, RequestHash(i), 1, 2)
		}
		crashUnder(t, d, "d", 4, 1, 9)
		crashUnder(t, d, "e", 5, 1, 8)
		require.Error(t, check(d, 1))
	})
}

func TestAnswerBetweenCrashesClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i, id := range []ident.UpstreamID{"a", "b", "c", "d", "e", "f"} {
			crashUnder(t, d, id, RequestHash(i), 1)
			if i%2 == 1 {
				answer(t, d, RequestHash(100+i), 1)
			}
		}
		require.NoError(t, check(d, 1))
	})
}

// Guards against a request that goes on to crash upstreams because it crashed the first ones in quick succession.
func TestRequestThatCrashesUpstreamsInQuickSuccessionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for _, id := range []ident.UpstreamID{"a", "b", "c"} {
			crashWithin(t, d, 100*time.Millisecond, id, 7, 1)
		}
		time.Sleep(minNewsDelay)
		d.Tick()
		var quarantined *QuarantinedError
		require.ErrorAs(t, d.Check(requestOf(7, 2)), &quarantined)
		require.True(t, quarantined.Whole)
		require.NoError(t, check(d, 1), "one request says little of its parts")
	})
}

// Guards against taking the loss of a rack for crashes under a request that ran on each of its upstreams.
func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for _, id := range []ident.UpstreamID{"a", "b", "c", "d"} {
			crashWithin(t, d, 10*time.Millisecond, id, 7, 1)
		}
		time.Sleep(minNewsDelay)
		d.Tick()
		require.NoError(t, d.Check(requestOf(7, 1)))
	})
}

func TestRepeatedRequestCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i := range 5 {
			d.Apply(News{Incidents: []Incident{{Subject: 1, Upstream: UpstreamKey{Tag: 1, Incarnation: uint32(i)}, Request: 7, At: time.Now()}}})
			time.Sleep(time.Second)
			d.Tick()
		}
		require.NoError(t, check(d, 1))
		for _, id := range []ident.UpstreamID{"a", "b", "c"} {
			crashUnder(t, d, id, 7, 1)
		}
		require.NoError(t, check(d, 1), "the request itself has caused the crashes")
		require.Error(t, d.Check(requestOf(7, 1)))
	})
}

func TestPlannedEndOfUpstreamIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i, id := range []ident.UpstreamID{"a", "b", "c", "d"} {
			u := &view.Upstream{ID: id, Incarnation: 1, State: view.UpstreamReady}
			a, err := d.Begin(u, requestOf(RequestHash(i), 1))
			require.NoError(t, err)
			a.End(OutcomeBroken)
			draining := *u
			draining.State = view.UpstreamDraining
			d.ApplyList(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{id: &draining}, 1))
			d.MarkRefused(u)
			time.Sleep(time.Second)
			d.Tick()
		}
		require.NoError(t, check(d, 1))
	})
}

func TestOneProbeAfterTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		d.Apply(News{Quarantines: []Quarantine{{Subjects: Set{1}, Strikes: 1, Since: time.Now()}}})
		u := &view.Upstream{ID: "a", State: view.UpstreamReady}
		time.Sleep(quarantineTerm - time.Second)
		require.Error(t, check(d, 1))
		time.Sleep(2 * time.Second)
		probe, err := d.Begin(u, requestOf(1, 1))
		require.NoError(t, err)
		_, err = d.Begin(u, requestOf(2, 1))
		require.Error(t, err, "one probe at a time")
		probe.End(OutcomeBroken)
		require.Error(t, check(d, 1))
		time.Sleep(2*quarantineTerm - time.Second)
		require.Error(t, check(d, 1), "the second term is twice as long")
		time.Sleep(2 * time.Second)
		probe, err = d.Begin(u, requestOf(3, 1))
		require.NoError(t, err)
		probe.End(OutcomeAnswered)
		require.NoError(t, check(d, 1))
		d.Apply(News{Quarantines: []Quarantine{{Subjects: Set{1}, Strikes: 2, Since: time.Now()}}})
		require.NoError(t, check(d, 1), "late news doesn't undo the release")
	})
}

func TestOnlyOneDaemonProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{IsProbeTurn: func(_ string, round int64) bool { return round == 1 }}
		d.Apply(News{Quarantines: []Quarantine{{Subjects: Set{1}, Strikes: 1, Since: time.Now()}}})
		time.Sleep(quarantineTerm + time.Second)
		require.Error(t, check(d, 1))
		time.Sleep(probeRound)
		require.NoError(t, check(d, 1))
	})
}

func TestBrokenRequestWaitsForEvidenceBeforeRetry(t *testing.T) {
	for _, c := range []struct {
		name     string
		liveness Liveness
		answered bool
		want     bool
	}{
		{"the upstream lives", LivenessAlive, false, true},
		{"the upstream can't be reached", LivenessUnknown, false, true},
		{"the upstream ended, parts unknown", LivenessEnded, false, false},
		{"the upstream ended, parts answered elsewhere", LivenessEnded, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Detector{CheckLiveness: func(*view.Upstream) Liveness {
					time.Sleep(5 * time.Millisecond)
					return c.liveness
				}}
				a, err := d.Begin(&view.Upstream{ID: "a", State: view.UpstreamReady}, requestOf(1, 1))
				require.NoError(t, err)
				a.End(OutcomeBroken)
				if c.answered {
					time.AfterFunc(100*time.Millisecond, func() { d.Apply(News{Answers: []Answer{{1, time.Now().Add(-time.Second)}}}) })
				}
				began := time.Now()
				require.Equal(t, c.want, a.MayRetry(t.Context()))
				require.LessOrEqual(t, time.Since(began), retryEvidenceWait+retryEvidenceTick)
			})
		})
	}
}

func TestMemoryAndMessagesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Detector{}
		for i := range 6 * maxSuspects {
			d.Apply(News{
				Incidents:   []Incident{{Subject: Hash(i), Upstream: UpstreamKey{1, uint32(i)}, Request: RequestHash(i), At: time.Now()}},
				Quarantines: []Quarantine{{Subjects: Set{Hash(i)}, Strikes: 1, Since: time.Now()}},
			})
			d.answered(requestOf(0, Hash(1<<40+i)), time.Now())
		}
		require.LessOrEqual(t, len(d.suspects), maxSuspects)
		require.LessOrEqual(t, len(d.verdicts), maxQuarantines)
		require.LessOrEqual(t, len(d.answers), maxAnswers)
		n := d.News(true)
		require.LessOrEqual(t, len(n.Incidents), maxNewsIncidents)
		require.LessOrEqual(t, len(n.Quarantines), maxNewsQuarantines)
		time.Sleep(2 * relayTTL)
		require.Empty(t, d.News(true).Incidents, "parts with one incident are not repeated for long")
		time.Sleep(maxTerm)
		d.Tick()
		require.Empty(t, d.suspects)
		require.Empty(t, d.verdicts)
		require.Empty(t, d.News(true).Incidents)
	})
}

// Guards against the planned end of an upstream that counts as a crash, and holds back retries, because the upstream announced
// it, or left the list, after the request had been sent.
func TestEndAnnouncedAfterSendingIsNoCrash(t *testing.T) {
	for name, state := range map[string]view.UpstreamState{
		"draining": view.UpstreamDraining, "no longer listed": 0, "said in a response": view.UpstreamReady,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Detector{Snapshots: &view.Snapshots{}, CheckLiveness: func(*view.Upstream) Liveness { return LivenessEnded }}
				if state == view.UpstreamReady {
					d.IsLeaving = func(*view.Upstream) bool { return true }
				}
				for i, id := range []ident.UpstreamID{"a", "b", "c", "d"} {
					u := &view.Upstream{ID: id, Incarnation: 1, State: view.UpstreamReady}
					a, err := d.Begin(u, requestOf(RequestHash(i), 1))
					require.NoError(t, err)
					listed := map[ident.UpstreamID]*view.Upstream{}
					if state != 0 {
						listed[id] = &view.Upstream{ID: id, Incarnation: 1, State: state}
					}
					d.Snapshots.SetUpstreams(view.NewUpstreams(listed, 1))
					a.End(OutcomeBroken)
					began := time.Now()
					require.True(t, a.MayRetry(t.Context()))
					require.Zero(t, time.Since(began))
					time.Sleep(time.Second)
					d.Tick()
				}
				require.NoError(t, check(d, 1))
			})
		})
	}
}

// Guards against a retry that is held back because the upstream announced its end, in a response, only after the request had broken.
func TestNoticeAfterBreakMakesEndPlanned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := false
		d := &Detector{IsLeaving: func(*view.Upstream) bool { return leaving }}
		u := &view.Upstream{ID: "a", Incarnation: 1, State: view.UpstreamReady}
		a, err := d.Begin(u, requestOf(1, 1))
		require.NoError(t, err)
		a.End(OutcomeBroken)
		leaving = true
		d.MarkRefused(u)
		began := time.Now()
		require.True(t, a.MayRetry(t.Context()))
		require.Zero(t, time.Since(began))
	})
}

// Guards against a quarantined request that is let through by a daemon that heard of it from one of an older release first.
func TestWholeRequestPassedOnAsPartsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, r := &Detector{}, requestOf(7)
		q := Quarantine{Subjects: Set{r.Fingerprint()}, Strikes: 1, Since: time.Now()}
		d.Apply(News{Quarantines: []Quarantine{q}})
		q.Whole = true
		d.Apply(News{Quarantines: []Quarantine{q}})
		require.Error(t, d.Check(r))
		q.Whole = false
		d.Apply(News{Quarantines: []Quarantine{q}})
		require.Error(t, d.Check(r))
	})
}
