package feed

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// log is a store with one list of records a topic.
type log struct {
	mu      sync.Mutex
	records map[extern.Topic][]extern.KeyedRecord
	first   map[extern.Topic]int
	down    bool
}

func newLog() *log {
	return &log{records: map[extern.Topic][]extern.KeyedRecord{}, first: map[extern.Topic]int{}}
}

func (l *log) put(topic extern.Topic, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := extern.KeyedRecord{Offset: ident.Offset(len(l.records[topic])), Key: key, Value: []byte(value)}
	l.records[topic] = append(l.records[topic], r)
}

func (l *log) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *log) Newest(_ context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreRefused}
	}
	newest := map[string]extern.KeyedRecord{}
	for _, r := range l.records[topic] {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	b := extern.StoreBatch{Next: ident.Offset(len(l.records[topic]))}
	for _, r := range newest {
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (l *log) Read(
	ctx context.Context, topic extern.Topic, from ident.Offset, wait time.Duration,
) (extern.StoreBatch, error) {
	for end := time.Now().Add(wait); ; {
		l.mu.Lock()
		down, all, first := l.down, l.records[topic], l.first[topic]
		l.mu.Unlock()
		switch {
		case down:
			return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreRefused}
		case int(from) < first:
			return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreExpired}
		case int(from) < len(all) || !time.Now().Before(end):
			return extern.StoreBatch{Records: all[from:], Next: ident.Offset(len(all))}, nil
		}
		select {
		case <-ctx.Done():
			return extern.StoreBatch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (l *log) Put(context.Context, extern.Topic, string, []byte, *ident.Offset) (ident.Offset, error) {
	panic("not used")
}

// sweepEvery is how often the program calls Sweep.
const sweepEvery = 100 * time.Millisecond

// words decodes records such as "ready" for upstreams and a version for the configuration.
type words struct{}

func (words) Decode(topic extern.Topic, r extern.KeyedRecord) view.Change {
	switch {
	case topic == extern.TopicUpstreams && len(r.Value) == 0:
		return &view.UpstreamRemoved{ID: ident.UpstreamID(r.Key)}
	case topic == extern.TopicUpstreams && string(r.Value) == "ready":
		return &view.Upstream{ID: ident.UpstreamID(r.Key), Service: "s", State: view.UpstreamReady, Offset: r.Offset}
	case topic == extern.TopicOperators && r.Key == "config":
		version, err := strconv.ParseInt(string(r.Value), 10, 64)
		if err != nil {
			return &view.Ignored{Reason: err.Error()}
		}
		return &view.Config{Version: version}
	case strings.HasPrefix(r.Key, "version"):
		return &view.Weights{Model: "m", Version: int64(len(r.Value))}
	default:
		return &view.Ignored{Reason: "unreadable"}
	}
}

func start(t *testing.T, l *log) *Follower {
	t.Helper()
	return run(t, &Follower{Store: l, Decoder: words{}, Snapshots: &view.Snapshots{}, InitialVersionAge: 5 * time.Second})
}

// run starts a follower and gives it time for its first reads.
func run(t *testing.T, f *Follower) *Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(time.Second)
	return f
}

func TestAnEntryThatCanNotBeReadNamesNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicOperators, "config", "1")
		l.put(extern.TopicUpstreams, "a", "ready")
		l.put(extern.TopicUpstreams, "b", "\x00\xff")
		f := start(t, l)
		require.True(t, f.Loaded())
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
		l.put(extern.TopicUpstreams, "a", "nonsense")
		time.Sleep(time.Second)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestAnUpstreamThatLapsedWithTheStoreIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		l.put(extern.TopicUpstreams, "b", "ready")
		f := start(t, l)
		l.setDown(true)
		time.Sleep(3 * time.Second)
		l.put(extern.TopicUpstreams, "a", "")
		l.put(extern.TopicUpstreams, "b", "")
		l.setDown(false)
		time.Sleep(time.Second)
		f.sweep()
		require.Len(t, f.Snapshots.Upstreams().ByID, 2)
		l.put(extern.TopicUpstreams, "a", "ready")
		time.Sleep(lapsedFor)
		f.sweep()
		require.Len(t, f.Snapshots.Upstreams().ByID, 1, "b did not come back")
	})
}

func TestALapsedUpstreamThatLeavesGetsNoWorkPastTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 2 * time.Second
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		f := start(t, l)
		l.setDown(true)
		time.Sleep(time.Second)
		l.setDown(false)
		time.Sleep(time.Second)
		l.put(extern.TopicUpstreams, "a", "")
		for left := drain - sweepEvery; left > 0; left -= sweepEvery {
			time.Sleep(sweepEvery)
			f.sweep()
		}
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestALapsedUpstreamGoesByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		f := start(t, l)
		l.setDown(true)
		time.Sleep(time.Second)
		l.setDown(false)
		time.Sleep(time.Second)
		l.put(extern.TopicUpstreams, "a", "")
		time.Sleep(2*gatherLeast + 50*time.Millisecond)
		require.Len(t, f.Snapshots.Upstreams().ByID, 1, "it may come back")
		time.Sleep(lapsedFor)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

// A daemon that is cut off hears of an upstream's leaving from others, and late: what they have known it for counts.
func TestALapsedUpstreamThatOthersHaveLongMissedGetsNoWorkPastTheDrain(t *testing.T) {
	for _, late := range []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const drain = 2 * time.Second
			shared, own := newLog(), newLog()
			for _, l := range []*log{shared, own} {
				l.put(extern.TopicUpstreams, "a", "ready")
				l.put(extern.TopicUpstreams, "b", "ready")
			}
			reader, cut := start(t, shared), start(t, own)
			own.setDown(true)
			time.Sleep(time.Second)
			next := cut.NextOffset(extern.TopicUpstreams)
			shared.put(extern.TopicUpstreams, "a", "")
			left := time.Now()
			for len(reader.Snapshots.Upstreams().ByID) == 2 {
				time.Sleep(sweepEvery)
			}
			time.Sleep(late)
			cut.ApplyChanges(extern.TopicUpstreams, reader.ChangesSince(extern.TopicUpstreams, next))
			for time.Since(left) < drain-sweepEvery {
				time.Sleep(sweepEvery)
				cut.sweep()
			}
			require.Len(t, cut.Snapshots.Upstreams().ByID, 1, "heard %v late", late)
		})
	}
}

func TestARemovedUpstreamGoesAtOnceWhileTheStoreIsWell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		f := start(t, l)
		l.put(extern.TopicUpstreams, "a", "")
		time.Sleep(2*gatherLeast + 50*time.Millisecond)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestWhenHistoryIsGoneTheNewestRecordsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		l.put(extern.TopicOperators, "config", "1")
		f := start(t, l)
		l.setDown(true)
		time.Sleep(time.Second)
		l.put(extern.TopicOperators, "config", "2")
		l.put(extern.TopicOperators, "config", "3")
		l.first[extern.TopicOperators] = 3
		l.setDown(false)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 3, f.Snapshots.Config().Version)
	})
}

func TestAPeersRecordsReachADaemonThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		well, refused := newLog(), newLog()
		for _, l := range []*log{well, refused} {
			l.put(extern.TopicOperators, "config", "1")
		}
		a, b := start(t, well), start(t, refused)
		refused.setDown(true)
		well.put(extern.TopicOperators, "config", "2")
		time.Sleep(time.Second)
		b.ApplyChanges(extern.TopicOperators, a.ChangesSince(extern.TopicOperators, b.NextOffset(extern.TopicOperators)))
		require.EqualValues(t, 2, b.Snapshots.Config().Version)
		old := []extern.KeyedRecord{{Offset: 0, Key: "config", Value: []byte("1")}}
		b.ApplyChanges(extern.TopicOperators, Changes{StoreBatch: extern.StoreBatch{Records: old, Next: 1}})
		require.EqualValues(t, 2, b.Snapshots.Config().Version, "the configuration never goes back")
	})
}

func TestAVersionThatStoodAtTheStartIsTakenForOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicOperators, "version/m", "xx")
		f := start(t, l)
		w, ok := f.Snapshots.Weights("m")
		require.True(t, ok)
		require.False(t, w.NamedAtObserved)
		require.GreaterOrEqual(t, time.Since(w.NamedAt), f.InitialVersionAge)
		l.put(extern.TopicOperators, "version/m", "xxx")
		time.Sleep(time.Second)
		w, _ = f.Snapshots.Weights("m")
		require.True(t, w.NamedAtObserved)
		at, replaced := w.ReplacedAt(2)
		require.True(t, replaced)
		require.LessOrEqual(t, time.Since(at), time.Second)
	})
}

// startListening starts a follower that reads only at the start and while it is told to.
func startListening(t *testing.T, l *log, reads *atomic.Bool) *Follower {
	t.Helper()
	return run(t, &Follower{
		Store: l, Decoder: words{}, Snapshots: &view.Snapshots{}, ReadsContinuously: func(extern.Topic) bool { return reads.Load() },
	})
}

func TestRegistrationsThatSayNothingNewAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		f := start(t, l)
		begun, changed := f.NextOffset(extern.TopicUpstreams), f.LastChangeOffset(extern.TopicUpstreams)
		for range 5 {
			l.put(extern.TopicUpstreams, "a", "ready")
			time.Sleep(time.Second)
		}
		require.Equal(t, begun+5, f.NextOffset(extern.TopicUpstreams))
		require.Equal(t, changed, f.LastChangeOffset(extern.TopicUpstreams))
		records := f.ChangesSince(extern.TopicUpstreams, begun).Records
		require.Empty(t, records)
		l.put(extern.TopicUpstreams, "a", "")
		time.Sleep(time.Second)
		l.put(extern.TopicUpstreams, "a", "ready")
		time.Sleep(time.Second)
		require.Equal(t, f.NextOffset(extern.TopicUpstreams), f.LastChangeOffset(extern.TopicUpstreams), "it had gone meanwhile")
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
	})
}

func TestADaemonThatHearsFromReadersTakesTheirWordForTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		var reads atomic.Bool
		listener := startListening(t, l, &reads)
		reader := start(t, l)
		for i := range 12 {
			l.put(extern.TopicUpstreams, "a", "ready")
			if i == 6 {
				l.put(extern.TopicUpstreams, "b", "ready")
			}
			time.Sleep(500 * time.Millisecond)
			next := listener.NextOffset(extern.TopicUpstreams)
			if reader.LastChangeOffset(extern.TopicUpstreams) > next {
				changes := reader.ChangesSince(extern.TopicUpstreams, next)
				require.Len(t, changes.Records, 1)
				listener.ApplyChanges(extern.TopicUpstreams, changes)
			}
			listener.AdvanceTo(extern.TopicUpstreams, reader.NextOffset(extern.TopicUpstreams))
		}
		require.Len(t, listener.Snapshots.Upstreams().ByID, 2)
		require.Equal(t, reader.NextOffset(extern.TopicUpstreams), listener.NextOffset(extern.TopicUpstreams))
	})
}

func TestADaemonThatHearsNothingReadsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.put(extern.TopicUpstreams, "a", "ready")
		var reads atomic.Bool
		f := startListening(t, l, &reads)
		time.Sleep(staleAfter)
		l.put(extern.TopicUpstreams, "a", "")
		time.Sleep(staleAfter + 2*gatherLeast + readerTick + readWait)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

// A daemon that starts reads the list as it is: it knows nothing of upstreams that had left before. One that asks it for what
// it lacks must not miss their leaving.
func TestWhatADaemonThatHasJustStartedDoesNotKnowIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, own := newLog(), newLog()
		for _, l := range []*log{shared, own} {
			l.put(extern.TopicUpstreams, "a", "ready")
			l.put(extern.TopicUpstreams, "b", "ready")
		}
		cut := start(t, own)
		own.setDown(true)
		shared.put(extern.TopicUpstreams, "b", "")
		shared.put(extern.TopicUpstreams, "a", "ready")
		shared.put(extern.TopicUpstreams, "c", "ready")
		fresh := start(t, shared)
		require.Len(t, fresh.Snapshots.Upstreams().ByID, 2)
		cut.ApplyChanges(extern.TopicUpstreams, fresh.ChangesSince(extern.TopicUpstreams, cut.NextOffset(extern.TopicUpstreams)))
		time.Sleep(lapsedFor)
		cut.sweep()
		require.Equal(t, fresh.NextOffset(extern.TopicUpstreams), cut.NextOffset(extern.TopicUpstreams))
		require.Equal(t, slices.Sorted(maps.Keys(fresh.Snapshots.Upstreams().ByID)), slices.Sorted(maps.Keys(cut.Snapshots.Upstreams().ByID)))
	})
}

func TestARemovalThatOnlyAWholeListShowsIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		for _, id := range []string{"a", "b"} {
			l.put(extern.TopicUpstreams, id, "ready")
		}
		f, other := start(t, l), start(t, l)
		next := other.NextOffset(extern.TopicUpstreams)
		require.NoError(t, f.load(t.Context(), extern.TopicUpstreams))
		// The record that removed b has gone with the history: only the whole list lacks b.
		f.apply(extern.TopicUpstreams, []extern.KeyedRecord{{Offset: 0, Key: "a", Value: []byte("ready")}}, next+3, true)
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
		changes := f.ChangesSince(extern.TopicUpstreams, next)
		require.Equal(t, next+3, f.LastChangeOffset(extern.TopicUpstreams))
		other.ApplyChanges(extern.TopicUpstreams, changes)
		require.Len(t, other.Snapshots.Upstreams().ByID, 1)
	})
}
