package canary

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const testService = view.ServiceID("llm")

// memoryStore is a store whose writes can fail.
type memoryStore struct {
	mu     sync.Mutex
	topics map[extern.Topic][]extern.KeyedRecord
	// down refuses all calls. loseResponses carries writes out but loses the responses.
	down, loseResponses bool
}

func (s *memoryStore) Newest(_ context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreRefused, Topic: topic}
	}
	all := s.topics[topic]
	newest := map[string]extern.KeyedRecord{}
	for _, r := range all {
		newest[r.Key] = r
	}
	batch := extern.StoreBatch{Next: ident.Offset(len(all))}
	for _, r := range newest {
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

func (s *memoryStore) Read(context.Context, extern.Topic, ident.Offset, time.Duration) (extern.StoreBatch, error) {
	return extern.StoreBatch{}, nil
}

func (s *memoryStore) Put(_ context.Context, topic extern.Topic, key string, value []byte, end *ident.Offset) (ident.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, &extern.StoreError{Kind: extern.StoreRefused, Topic: topic}
	}
	offset := ident.Offset(len(s.topics[topic]))
	if end != nil && *end != offset {
		return 0, &extern.StoreError{Kind: extern.StoreConflict, Topic: topic}
	}
	if s.topics == nil {
		s.topics = map[extern.Topic][]extern.KeyedRecord{}
	}
	s.topics[topic] = append(s.topics[topic], extern.KeyedRecord{Offset: offset, Key: key, Value: value})
	if s.loseResponses {
		return 0, &extern.StoreError{Kind: extern.StoreUnknown, Topic: topic}
	}
	return offset, nil
}

// states returns the states that operators were told, in order.
func (s *memoryStore) states() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, r := range s.topics[extern.TopicStatus] {
		status, _ := testCodec{}.DecodeRollout(r)
		out = append(out, status.State.String())
	}
	return out
}

type testCodec struct{}

func (testCodec) EncodeRollout(s view.RolloutStatus) (string, []byte, error) {
	value, err := json.Marshal(s)
	return string(s.Service), value, err
}

func (testCodec) DecodeRollout(r extern.KeyedRecord) (s view.RolloutStatus, ok bool) {
	return s, json.Unmarshal(r.Value, &s) == nil
}

// testFleet is a fleet of daemons that exchange stages and counts every 100 ms, in virtual time.
type testFleet struct {
	t       *testing.T
	store   *memoryStore
	daemons []*testDaemon
	// leader is the index of the leader, -1 for none; term is its term.
	leader int
	term   ident.Offset
	rng    *rand.Rand
	// answer returns how an upstream of the new release answers a request.
	answer  func(route ident.RouteID) (took time.Duration, failed bool)
	mu      sync.Mutex
	exposed int
	wg      sync.WaitGroup
}

type testDaemon struct {
	*Controller
	partitioned atomic.Bool
	// brief says that the daemon has no traffic and gets brief heartbeats only.
	brief atomic.Bool
	// formerTerm is the term of which the daemon takes itself for the leader though another one is; 0 for none.
	formerTerm atomic.Int64
	cancel     context.CancelFunc
}

const (
	testWithin   = 15 * time.Second
	testRate     = 70
	usualLatency = 60 * time.Millisecond
)

func newTestFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: &memoryStore{}, term: 1, rng: rand.New(rand.NewPCG(1, 2))}
	f.answer = func(ident.RouteID) (time.Duration, bool) { return usualLatency, false }
	for i := range size {
		f.daemons = append(f.daemons, f.newDaemon(i))
	}
	t.Cleanup(func() {
		for _, d := range f.daemons {
			d.cancel()
		}
		f.wg.Wait()
	})
	return f
}

func (f *testFleet) newDaemon(i int) *testDaemon {
	snapshots := &view.Snapshots{}
	byID := map[ident.UpstreamID]*view.Upstream{}
	for n := range 6 {
		for _, release := range []string{"v1", "v2"} {
			u := &view.Upstream{
				ID: ident.UpstreamID(fmt.Sprint(release, "-", n)), Service: testService, Release: release, State: view.UpstreamReady, Incarnation: 1,
			}
			byID[u.ID] = u
		}
	}
	snapshots.SetUpstreams(view.NewUpstreams(byID, 1))
	snapshots.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{testService: {ID: testService, Engine: &view.Engine{}}}})
	d := &testDaemon{}
	d.Controller = &Controller{
		Snapshots: snapshots, Store: f.store, Codec: testCodec{}, HasTraffic: func() bool { return !d.brief.Load() },
		IsIsolated: d.partitioned.Load,
		RequestsAt: func(ident.UpstreamID) int { return 0 },
		Term: func() ident.Offset {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.leader == i {
				return f.term
			}
			return ident.Offset(d.formerTerm.Load())
		},
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	d.cancel = cancel
	f.wg.Go(func() { d.Run(ctx) })
	return d
}

func (f *testFleet) order(release string, offset ident.Offset) {
	for _, d := range f.daemons {
		d.Snapshots.SetRollout(view.Rollout{Service: testService, Release: release, Within: testWithin, Offset: offset, SeenAt: time.Now()})
	}
}

// elect makes a daemon the leader with the next term.
func (f *testFleet) elect(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = i
	f.term++
}

// restart replaces a daemon by one that knows nothing but the order.
func (f *testFleet) restart(i int) {
	old := f.daemons[i]
	old.cancel()
	order := old.Snapshots.Rollouts()[testService]
	f.daemons[i] = f.newDaemon(i)
	f.daemons[i].Snapshots.SetRollout(order)
}

// run serves requests for d: testRate a second, at random daemons, on two routes.
func (f *testFleet) run(d time.Duration) {
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		if n%(testRate/10) == 0 {
			f.gossip()
		}
		d := f.daemons[f.draw(len(f.daemons))]
		r := &Request{
			Service: testService, Route: []ident.RouteID{"note", "check"}[f.draw(2)], ID: ident.RequestID(fmt.Sprint(f.draw(1 << 60))),
		}
		f.wg.Go(func() { f.serve(d, r) })
		time.Sleep(time.Second / testRate)
	}
}

func (f *testFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// setAnswer sets how upstreams of the new release answer from now on.
func (f *testFleet) setAnswer(answer func(ident.RouteID) (time.Duration, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// exposures returns the number of requests that the new release has got.
func (f *testFleet) exposures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exposed
}

func (f *testFleet) gossip() {
	for i, from := range f.daemons {
		rows := from.Monitor().Digest()
		for j, to := range f.daemons {
			if i == j || from.partitioned.Load() || to.partitioned.Load() {
				continue
			}
			for _, s := range from.Stages() {
				to.ApplyStage(s)
			}
			if to.brief.Load() {
				to.Monitor().Merge(ident.DaemonID(fmt.Sprint(i)), 1, from.Monitor().Stops())
				continue
			}
			to.Monitor().Merge(ident.DaemonID(fmt.Sprint(i)), 1, rows)
		}
	}
}

func (f *testFleet) serve(d *testDaemon, r *Request) {
	filter := d.Releases(r)
	u := d.Snapshots.Upstreams().ByID["v1-0"]
	isNew := filter != nil && !filter.Except
	if u == nil && filter != nil && filter.Except {
		return
	}
	f.mu.Lock()
	if filter == nil || isNew {
		u = d.Snapshots.Upstreams().ByID["v2-0"]
	}
	took, failed := time.Duration(float64(usualLatency)*(0.7+0.6*f.rng.Float64())), false
	if isNew {
		var usual time.Duration
		usual, failed = f.answer(r.Route)
		took = time.Duration(float64(took) * float64(usual) / float64(usualLatency))
		f.exposed++
	}
	f.mu.Unlock()
	attempt := d.Begin(r, u, 500)
	time.Sleep(took)
	attempt.FirstToken(0)
	for n := ident.Tokens(2); n < 8; n++ {
		time.Sleep(took / 8)
		attempt.Tokens(n)
	}
	outcome := moves.OutcomeComplete
	if failed {
		outcome = moves.OutcomeFailed
	}
	attempt.End(outcome, 8)
}

// requireRolledBack checks the users' rules on a bad release: at most a tenth of the requests and 50 more reach it, and
// operators are told in time.
func (f *testFleet) requireRolledBack() {
	f.t.Helper()
	require.Equal(f.t, []string{"inProgress", "rolledBack"}, f.store.states())
	require.LessOrEqual(f.t, f.exposures(), testRate*int(testWithin/time.Second)/10+50)
}

func (f *testFleet) requireCompleted() {
	f.t.Helper()
	require.Equal(f.t, []string{"inProgress", "completed"}, f.store.states())
}

// The fleet has served for some seconds before the order arrives.
func playRollout(t *testing.T, play func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 8)
		f.run(5 * time.Second)
		f.order("v2", 7)
		play(f)
	})
}

func slow(ident.RouteID) (time.Duration, bool) { return 5 * usualLatency, false }

func fails(ident.RouteID) (time.Duration, bool) { return usualLatency, true }

func TestGoodRolloutIsCompletedAndBadOneRolledBack(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.run(testWithin)
		f.requireCompleted()
		f.run(2 * time.Second)
		require.Equal(t, &place.ReleaseFilter{Release: "v2"}, f.daemons[3].Releases(&Request{Service: testService, Route: "note", ID: "x"}))
	})
	for name, answer := range map[string]func(ident.RouteID) (time.Duration, bool){
		"slow": slow, "fails": fails,
		"slow on one route": func(r ident.RouteID) (time.Duration, bool) {
			if r == "note" {
				return slow(r)
			}
			return usualLatency, false
		},
	} {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(f *testFleet) {
				f.setAnswer(answer)
				f.run(testWithin)
				f.requireRolledBack()
			})
		})
	}
}

// Guards against a good release that is rolled back because its upstreams are cold and few: at large shares the first tokens
// come three times as late as before.
func TestGoodReleaseOnColdUpstreamsIsCompleted(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.run(11 * time.Second)
		f.setAnswer(func(ident.RouteID) (time.Duration, bool) { return 3 * usualLatency, false })
		f.run(testWithin - 11*time.Second)
		f.requireCompleted()
	})
}

// Guards against a release that turns bad late: what it got before counts as well.
func TestReleaseThatTurnsBadLateIsRolledBack(t *testing.T) {
	for _, after := range []time.Duration{4 * time.Second, 8 * time.Second, 11 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			playRollout(t, func(f *testFleet) {
				f.run(after)
				f.setAnswer(slow)
				f.run(testWithin - after)
				f.requireRolledBack()
			})
		})
	}
}

// Guards against a rollout that is forgotten, repeated or decided twice when its owner is killed or cut off in any step.
func TestRolloutSurvivesLossOfItsOwner(t *testing.T) {
	for _, at := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 6 * time.Second, 10 * time.Second, 12500 * time.Millisecond} {
		for name, answer := range map[string]func(ident.RouteID) (time.Duration, bool){"good": nil, "slow": slow} {
			t.Run(fmt.Sprint(name, " release, owner killed after ", at), func(t *testing.T) {
				playRollout(t, func(f *testFleet) {
					if answer != nil {
						f.setAnswer(answer)
					}
					f.run(at)
					f.elect(-1)
					f.restart(0)
					f.run(800 * time.Millisecond)
					f.elect(5)
					f.run(testWithin - at)
					if answer == nil {
						f.requireCompleted()
						return
					}
					f.requireRolledBack()
				})
			})
		}
	}
}

// Guards against a former owner that wakes up and writes a status after its successor.
func TestFormerOwnerCanNotWriteStatus(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.run(2 * time.Second)
		former := f.daemons[0]
		former.formerTerm.Store(1)
		f.elect(5)
		f.run(time.Second)
		stage := former.Stages()[0]
		stage.State = view.RolloutCompleted
		stale := ledger{term: 1, stagesEnd: 3, statusEnd: 1, records: map[view.ServiceID]*stageRecord{}, statuses: map[view.ServiceID]view.RolloutStatus{}}
		owner := &Controller{Store: f.store, Codec: testCodec{}, Term: former.Term, ledger: stale}
		require.Error(t, owner.writeStage(t.Context(), 1, stage, true))
		require.NotContains(t, f.store.states(), "completed")
		former.cancel()
		f.run(testWithin - 3*time.Second)
		f.requireCompleted()
	})
}

// Guards against a status that is written twice, or decided differently, when the store loses responses or is down.
func TestRolloutSurvivesFaultsOfStore(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.setAnswer(fails)
		f.run(time.Second)
		f.store.mu.Lock()
		f.store.loseResponses = true
		f.store.mu.Unlock()
		f.run(9 * time.Second)
		f.store.mu.Lock()
		f.store.loseResponses = false
		f.store.mu.Unlock()
		f.run(2 * time.Second)
		f.requireRolledBack()
	})
	playRollout(t, func(f *testFleet) {
		f.setAnswer(fails)
		f.run(3 * time.Second)
		f.store.mu.Lock()
		f.store.down = true
		f.store.mu.Unlock()
		f.run(7 * time.Second)
		exposed := f.exposures()
		f.run(2 * time.Second)
		require.Equal(t, exposed, f.exposures(), "a bad release gets nothing also while the store is down")
		f.store.mu.Lock()
		f.store.down = false
		f.store.mu.Unlock()
		f.run(3 * time.Second)
		f.requireRolledBack()
	})
}

// Guards against a rollout that goes on at a large share, or is taken for another, after all daemons were restarted.
func TestRolloutSurvivesRestartOfAllDaemons(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.run(7 * time.Second)
		for i := range f.daemons {
			f.restart(i)
		}
		f.elect(2)
		f.run(300 * time.Millisecond)
		require.Equal(t, steps[0].share, f.daemons[2].Stages()[0].Share)
		f.run(testWithin - 7*time.Second)
		f.requireCompleted()
		for i := range f.daemons {
			f.restart(i)
		}
		f.elect(1)
		f.run(3 * time.Second)
		f.requireCompleted()
		require.Equal(t, view.RolloutCompleted, f.daemons[4].Stages()[0].State)
		f.order("v3", 9)
		f.run(time.Second)
		require.Equal(t, []string{"inProgress", "completed", "inProgress"}, f.store.states(), "the next order is another rollout")
	})
}

// Guards against a leader that hears nothing of what the daemons with traffic have found, and so completes the rollout of a
// bad release: one that is cut off from all of them, and one that gets brief heartbeats only.
func TestLeaderWithoutTrafficHearsOfBadRelease(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		f.setAnswer(slow)
		f.run(3 * time.Second)
		f.daemons[0].partitioned.Store(true)
		f.run(testWithin)
		require.Equal(t, []string{"inProgress"}, f.store.states())
		f.elect(4)
		f.run(time.Second)
		f.requireRolledBack()
	})
	playRollout(t, func(f *testFleet) {
		f.setAnswer(slow)
		f.daemons[0].brief.Store(true)
		f.run(testWithin)
		f.requireRolledBack()
	})
}

// Guards against refusing all requests when the upstreams of the old release are gone, and against taking those that then
// go to the new one for requests after a rollback.
func TestOnlyListedReleaseGetsRequests(t *testing.T) {
	playRollout(t, func(f *testFleet) {
		var violations atomic.Int32
		defer guard.Capture(func(*guard.ViolationError) { violations.Add(1) })()
		f.run(4 * time.Second)
		d := f.daemons[0]
		onlyNew := map[ident.UpstreamID]*view.Upstream{}
		for id, u := range d.Snapshots.Upstreams().ByID {
			if u.Release == "v2" {
				onlyNew[id] = u
			}
		}
		for _, d := range f.daemons {
			d.Snapshots.SetUpstreams(view.NewUpstreams(onlyNew, 2))
		}
		f.run(4 * time.Second)
		require.Nil(t, d.Releases(&Request{Service: testService, Route: "note", ID: "x"}))
		require.Zero(t, violations.Load())
	})
}

// Guards against requests to a new release before this daemon knows how far its rollout has come.
func TestNewReleaseGetsNothingBeforeFirstStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		r := &Request{Service: testService, Route: "note", ID: "x"}
		require.Nil(t, f.daemons[0].Releases(r))
		f.order("v2", 7)
		require.Equal(t, &place.ReleaseFilter{Release: "v2", Except: true}, f.daemons[0].Releases(r))
		f.daemons[0].brief.Store(true)
		f.run(testWithin / 2)
		require.Zero(t, f.exposures(), "a daemon that callers aren't sent to")
	})
}
