package replay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// daemon is a follower with its writer, checkpointer and log client.
type daemon struct {
	id           ident.DaemonID
	client       *fakes.LogClient
	follower     *Follower
	writer       *Writer
	checkpointer *Checkpointer
	// logUnreachable makes all calls to the log fail.
	logUnreachable atomic.Bool
	stop           context.CancelFunc
	wg             sync.WaitGroup
}

// inMemoryPeers implements Peers by direct calls to other daemons.
type inMemoryPeers map[ident.DaemonID]*daemon

// Relay implements Peers.
func (m inMemoryPeers) Relay(_ context.Context, id ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return m[id].follower.HandleRelay(req), nil
}

// Snapshot implements Peers. A daemon that is not in the map never answers.
func (m inMemoryPeers) Snapshot(ctx context.Context, id ident.DaemonID) ([]*wire.CheckpointChunk, error) {
	if m[id] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m[id].follower.HandleSnapshot(), nil
}

func startDaemon(log *fakes.Log, id ident.DaemonID) *daemon {
	d := newDaemon(log, id, nil)
	d.start()
	return d
}

func newDaemon(log *fakes.Log, id ident.DaemonID, peers inMemoryPeers, seeds ...ident.DaemonID) *daemon {
	d := &daemon{id: id}
	d.client = &fakes.LogClient{Log: log, Fault: func(fakes.Operation) fakes.Fault {
		return fakes.Fault{Refused: d.logUnreachable.Load()}
	}}
	d.follower = &Follower{Log: d.client, Peers: peers, Seeds: func() []ident.DaemonID { return seeds }}
	d.follower.OnChange = func() { d.follower.SetInForce(d.follower.State().Offset()) }
	d.writer = &Writer{Log: d.client, Follower: d.follower}
	d.checkpointer = &Checkpointer{Self: id, Log: d.client, Follower: d.follower, Writer: d.writer, RecordsPerCheckpoint: 50}
	return d
}

func (d *daemon) start() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.wg.Go(func() { _ = d.follower.Run(ctx) })
	d.wg.Go(func() { _ = d.checkpointer.Run(ctx) })
}

func (d *daemon) close() {
	d.stop()
	d.checkpointer.Close()
	d.follower.Close()
	d.wg.Wait()
}

func (d *daemon) writeSetting(ctx context.Context, name string, value int) (Result, error) {
	setting := &config.Setting{Path: ident.Path("/platform/settings/" + name), Value: fmt.Sprint(value)}
	return d.writer.Write(ctx, config.NewRecord(NewRecordID(), "operator", d.follower.State().Revision(setting.Path), setting))
}

// encodeState returns a deterministic encoding for the comparison of states.
func encodeState(t *testing.T, s *config.State) []byte {
	t.Helper()
	var all []byte
	for _, chunk := range s.EncodeCheckpoint("dump") {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
		require.NoError(t, err)
		all = append(all, raw...)
	}
	return all
}

// A daemon that starts when the log no longer holds the first records must load a checkpoint and reach the same state
// as a daemon that has applied every record.
func TestCheckpointStartReachesSameState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{Retain: 120}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		for i := range 500 {
			_, err := a.writeSetting(context.Background(), fmt.Sprint(i%100), i)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		b := startDaemon(log, "b")
		defer b.close()
		time.Sleep(2 * time.Second)
		require.Equal(t, a.follower.State().Offset(), b.follower.State().Offset())
		require.Equal(t, encodeState(t, a.follower.State()), encodeState(t, b.follower.State()))
		require.False(t, b.follower.TailReadStarted().IsZero())
	})
}

// A follower that can't reach the log while the log deletes the records that it needs next must load a checkpoint
// instead of getting stuck.
func TestFollowerBehindLogRetentionLoadsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{Retain: 120}
		defer log.Close()
		a, b := startDaemon(log, "a"), startDaemon(log, "b")
		defer a.close()
		defer b.close()
		_, err := a.writeSetting(context.Background(), "first", 1)
		require.NoError(t, err)
		b.logUnreachable.Store(true)
		for i := range 300 {
			_, err := a.writeSetting(context.Background(), fmt.Sprint(i%100), i)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		b.logUnreachable.Store(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, encodeState(t, a.follower.State()), encodeState(t, b.follower.State()))
	})
}

// The last checkpoint must not age out of the log when no records are written. Five daemons with a jitter of up to
// 10 min must not each write one.
func TestCheckpointsAreWrittenToIdleLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		var daemons []*daemon
		for i := range 5 {
			d := newDaemon(log, ident.DaemonID(fmt.Sprint(i)), nil)
			d.checkpointer.MaxJitter = 10 * time.Minute
			d.follower.PollInterval = 5 * time.Second
			d.start()
			daemons = append(daemons, d)
			defer d.close()
		}
		_, err := daemons[0].writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		time.Sleep(10 * time.Hour)
		marks := log.TotalAppends(extern.StreamControl) - 1
		require.GreaterOrEqual(t, marks, 8)
		require.LessOrEqual(t, marks, 20, "mostly one of the five daemons writes each checkpoint")
	})
}

// A seed that does not respond must not delay the start: the next seed is asked after snapshotHedgeDelay.
func TestStartLoadsSnapshotFromFirstRespondingSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		time.Sleep(time.Second)

		started := time.Now()
		b := newDaemon(log, "b", inMemoryPeers{"a": a}, "silent", "a")
		b.logUnreachable.Store(true)
		b.start()
		defer b.close()
		for !b.follower.Bootstrapped() {
			time.Sleep(time.Millisecond)
		}
		require.Less(t, time.Since(started), time.Second)
		require.Equal(t, encodeState(t, a.follower.InForce()), encodeState(t, b.follower.State()))
	})
}

// Seeds that do not respond must not delay a start from the log by more than maxSnapshotWait.
func TestStartReadsLogWhenSeedsDoNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)

		started := time.Now()
		b := newDaemon(log, "b", inMemoryPeers{}, "silent", "mute")
		b.start()
		defer b.close()
		for !b.follower.Bootstrapped() {
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, time.Since(started), maxSnapshotWait+10*time.Millisecond)
		require.Equal(t, encodeState(t, a.follower.State()), encodeState(t, b.follower.State()))
	})
}

func TestRecordsAreRelayedWhileLogIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		b := newDaemon(log, "b", inMemoryPeers{"a": a})
		b.logUnreachable.Store(true)
		b.start()
		defer b.close()
		for i := range 3000 {
			payload, err := proto.Marshal(config.NewRecord(NewRecordID(), "o", 0, &config.Setting{
				Path: ident.Path(fmt.Sprint("/platform/settings/", i)), Value: "1",
			}))
			require.NoError(t, err)
			_, err = a.client.Append(context.Background(), extern.StreamControl, payload)
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		b.follower.ObservePeerOffset("a", 3000)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, b.follower.WaitFor(ctx, 3000))
		require.Equal(t, encodeState(t, a.follower.State()), encodeState(t, b.follower.State()))
		require.True(t, b.follower.TailReadStarted().IsZero(), "relayed records must not count as a read of the tail")
	})
}

func TestRelayedRecordsMustBeInOrder(t *testing.T) {
	for name, entries := range map[string][]*wire.LogEntry{
		"repeated":  {{Offset: 1, Record: &wire.Record{}}, {Offset: 1, Record: &wire.Record{}}},
		"backwards": {{Offset: 2, Record: &wire.Record{}}, {Offset: 1, Record: &wire.Record{}}},
		"too early": {{Offset: 0, Record: &wire.Record{}}},
		"empty":     {{Offset: 1}},
	} {
		require.False(t, inOrder(entries, 1), name)
	}
}

func TestRateLimitedAppendsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{AppendsPerSecond: 20}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				_, err := a.writeSetting(ctx, fmt.Sprint(i), i)
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.Equal(t, 100, log.TotalAppends(extern.StreamControl))
	})
}

// Writes that conflict or are invalid in the applied state must be rejected without an append to the log.
func TestInvalidWriteIsNotAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		setting := &config.Setting{Path: "/platform/settings/a", Value: "1"}
		_, err := a.writer.Write(context.Background(), config.NewRecord("r1", "o", 0, setting))
		require.NoError(t, err)

		_, err = a.writer.Write(context.Background(), config.NewRecord("r2", "o", 0, setting))
		var conflict *config.ConflictError
		require.ErrorAs(t, err, &conflict)
		_, err = a.writer.Write(context.Background(), config.NewRecord("r3", "o", 1, &config.Setting{Path: setting.Path, Value: "{"}))
		var invalid *config.InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, 1, log.TotalAppends(extern.StreamControl))
	})
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.client.Append(context.Background(), extern.StreamControl, []byte{0xff, 0xff})
		require.NoError(t, err)
		_, err = a.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		require.Equal(t, ident.Offset(2), a.follower.State().Offset())
	})
}

// Publishing a state with a lower offset must be reported as an invariant violation and must not change the state.
func TestAppliedOffsetNeverDecreases(t *testing.T) {
	var seen []*guard.ViolationError
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
	var s store
	s.init()
	newer, _ := config.NewState().Apply(5, &wire.Record{})
	require.True(t, s.reset(newer))
	require.False(t, s.reset(config.NewState()), "an older base must be rejected")
	s.mu.Lock()
	s.publish(config.NewState())
	s.mu.Unlock()
	require.Len(t, seen, 1)
	require.Equal(t, guard.ConfigMonotonic, seen[0].Invariant)
	require.Equal(t, newer, s.applied.Load())
}

// When no newer state comes into force, the history is thinned to bound its memory. A state for every membership change
// must remain.
func TestThinHistoryKeepsMembershipChanges(t *testing.T) {
	var s store
	s.init()
	members := map[ident.Offset]bool{}
	for i := range uint64(3 * maxHistoryStates) {
		rec := config.NewRecord(ident.RecordID(fmt.Sprint("r", i)), "o", 0, &config.Setting{
			Path: ident.Path(fmt.Sprint("/platform/settings/", i)), Value: "1",
		})
		if i%100 == 50 {
			rec = config.NewRecord(ident.RecordID(fmt.Sprint("r", i)), "o", 0, &config.Member{
				ID: ident.DaemonID(fmt.Sprint("d", i)), Incarnation: 1, State: config.MemberJoined,
			})
			members[ident.Offset(i+1)] = true
		}
		s.append([]*wire.LogEntry{{Offset: i + 1, Record: rec}})
	}
	require.LessOrEqual(t, len(s.history), maxHistoryStates+1)
	for _, state := range s.history {
		delete(members, state.Offset())
	}
	require.Empty(t, members)
}

// Restarts of the same daemons change member records but not the membership, so they must not fill the history while
// no newer state comes into force.
func TestRestartsDoNotFillHistory(t *testing.T) {
	var s store
	s.init()
	for i := range uint64(3 * maxHistoryStates) {
		m := &config.Member{ID: ident.DaemonID(fmt.Sprint("d", i%8)), Incarnation: ident.Incarnation(i + 1), State: config.MemberJoined}
		state := s.applied.Load()
		rec := config.NewRecord(ident.RecordID(fmt.Sprint("r", i)), "o", state.Revision(config.PathOf(m)), m)
		s.append([]*wire.LogEntry{{Offset: i + 1, Record: rec}})
		require.Equal(t, ident.Offset(i+1), s.applied.Load().MembersChanged())
	}
	require.LessOrEqual(t, len(s.history), maxHistoryStates+1)
	require.Len(t, thinHistory(s.history), 10, "the empty state, eight states that each add a daemon, and the last state")
}

func TestIsExpiredMatchesWrappedLogError(t *testing.T) {
	require.True(t, isExpired(fmt.Errorf("read: %w", &extern.LogError{Kind: extern.LogExpired})))
	require.False(t, isExpired(errors.ErrUnsupported))
}
