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

// daemon is a follower with its writer and checkpointer.
type daemon struct {
	id         ident.DaemonID
	client     *fakes.LogClient
	follower   *Follower
	writer     *Writer
	checkpoint *Checkpointer
	// cut is true while the log is out of reach.
	cut  atomic.Bool
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// mesh is the peers of one daemon, in memory.
type mesh map[ident.DaemonID]*daemon

// Relay implements Peers.
func (m mesh) Relay(_ context.Context, id ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return m[id].follower.HandleRelay(req), nil
}

// Snapshot implements Peers. A daemon without a follower never answers.
func (m mesh) Snapshot(ctx context.Context, id ident.DaemonID) ([]*wire.CheckpointChunk, error) {
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

func newDaemon(log *fakes.Log, id ident.DaemonID, peers mesh, seeds ...ident.DaemonID) *daemon {
	d := &daemon{id: id}
	d.client = &fakes.LogClient{Log: log, Fault: func(fakes.Operation) fakes.Fault {
		return fakes.Fault{Refused: d.cut.Load()}
	}}
	d.follower = &Follower{Log: d.client, Peers: peers, Seeds: func() []ident.DaemonID { return seeds }}
	d.follower.OnChange = func() { d.follower.SetInForce(d.follower.State().Offset()) }
	d.writer = &Writer{Log: d.client, Follower: d.follower}
	d.checkpoint = &Checkpointer{Self: id, Log: d.client, Follower: d.follower, Writer: d.writer, RecordsPerCheckpoint: 50}
	return d
}

func (d *daemon) start() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.wg.Go(func() { _ = d.follower.Run(ctx) })
	d.wg.Go(func() { _ = d.checkpoint.Run(ctx) })
}

func (d *daemon) close() {
	d.stop()
	d.checkpoint.Close()
	d.follower.Close()
	d.wg.Wait()
}

func (d *daemon) set(ctx context.Context, name string, value int) (Result, error) {
	setting := &config.Setting{Path: ident.Path("/platform/settings/" + name), Value: fmt.Sprint(value)}
	return d.writer.Write(ctx, config.NewRecord(NewRecordID(), "operator", d.follower.State().Revision(setting.Path), setting))
}

func dump(t *testing.T, s *config.State) []byte {
	t.Helper()
	var all []byte
	for _, chunk := range s.EncodeCheckpoint("dump") {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
		require.NoError(t, err)
		all = append(all, raw...)
	}
	return all
}

func TestAStartFromACheckpointEqualsTheStateOfTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{Retain: 120}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		for i := range 500 {
			_, err := a.set(context.Background(), fmt.Sprint(i%100), i)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		b := startDaemon(log, "b")
		defer b.close()
		time.Sleep(2 * time.Second)
		require.Equal(t, a.follower.State().Offset(), b.follower.State().Offset())
		require.Equal(t, dump(t, a.follower.State()), dump(t, b.follower.State()))
		require.False(t, b.follower.TailReadStarted().IsZero())
	})
}

func TestAFollowerThatWasAwayLongerThanTheRetentionGoesOnFromACheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{Retain: 120}
		defer log.Close()
		a, b := startDaemon(log, "a"), startDaemon(log, "b")
		defer a.close()
		defer b.close()
		_, err := a.set(context.Background(), "first", 1)
		require.NoError(t, err)
		b.cut.Store(true)
		for i := range 300 {
			_, err := a.set(context.Background(), fmt.Sprint(i%100), i)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		b.cut.Store(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, dump(t, a.follower.State()), dump(t, b.follower.State()))
	})
}

func TestAnIdleLogStillGetsCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		var daemons []*daemon
		for i := range 5 {
			d := newDaemon(log, ident.DaemonID(fmt.Sprint(i)), nil)
			d.checkpoint.MaxJitter = 10 * time.Minute
			d.follower.PollInterval = 5 * time.Second
			d.start()
			daemons = append(daemons, d)
			defer d.close()
		}
		_, err := daemons[0].set(context.Background(), "a", 1)
		require.NoError(t, err)
		time.Sleep(10 * time.Hour)
		marks := log.TotalAppends(extern.StreamControl) - 1
		require.GreaterOrEqual(t, marks, 8)
		require.LessOrEqual(t, marks, 20, "five daemons mostly leave it to one")
	})
}

func TestAStartTakesTheSnapshotOfTheFirstSeedThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.set(context.Background(), "a", 1)
		require.NoError(t, err)
		time.Sleep(time.Second)

		started := time.Now()
		b := newDaemon(log, "b", mesh{"a": a}, "silent", "a")
		b.cut.Store(true)
		b.start()
		defer b.close()
		for !b.follower.Bootstrapped() {
			time.Sleep(time.Millisecond)
		}
		require.Less(t, time.Since(started), time.Second)
		require.Equal(t, dump(t, a.follower.InForce()), dump(t, b.follower.State()))
	})
}

func TestAStartDoesNotWaitForSilentSeedsWhenTheLogAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.set(context.Background(), "a", 1)
		require.NoError(t, err)

		started := time.Now()
		b := newDaemon(log, "b", mesh{}, "silent", "mute")
		b.start()
		defer b.close()
		for !b.follower.Bootstrapped() {
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, time.Since(started), snapshotHead+10*time.Millisecond)
		require.Equal(t, dump(t, a.follower.State()), dump(t, b.follower.State()))
	})
}

func TestRecordsAreRelayedWhileTheLogIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		b := newDaemon(log, "b", mesh{"a": a})
		b.cut.Store(true)
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
		require.Equal(t, dump(t, a.follower.State()), dump(t, b.follower.State()))
		require.True(t, b.follower.TailReadStarted().IsZero(), "a relayed record is no read of the tail")
	})
}

func TestRelayedRecordsMustFollow(t *testing.T) {
	for name, entries := range map[string][]*wire.LogEntry{
		"repeated":  {{Offset: 1, Record: &wire.Record{}}, {Offset: 1, Record: &wire.Record{}}},
		"backwards": {{Offset: 2, Record: &wire.Record{}}, {Offset: 1, Record: &wire.Record{}}},
		"too early": {{Offset: 0, Record: &wire.Record{}}},
		"empty":     {{Offset: 1}},
	} {
		require.False(t, inOrder(entries, 1), name)
	}
}

func TestAppendsAreRetriedWhenTheLogIsBusy(t *testing.T) {
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
				_, err := a.set(ctx, fmt.Sprint(i), i)
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.Equal(t, 100, log.TotalAppends(extern.StreamControl))
	})
}

func TestAWriteThatCanNotTakeEffectCostsNoAppend(t *testing.T) {
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

func TestACorruptRecordIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		a := startDaemon(log, "a")
		defer a.close()
		_, err := a.client.Append(context.Background(), extern.StreamControl, []byte{0xff, 0xff})
		require.NoError(t, err)
		_, err = a.set(context.Background(), "a", 1)
		require.NoError(t, err)
		require.Equal(t, ident.Offset(2), a.follower.State().Offset())
	})
}

func TestTheAppliedStateNeverGoesBack(t *testing.T) {
	var seen []*guard.ViolationError
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
	var s store
	s.init()
	newer, _ := config.NewState().Apply(5, &wire.Record{})
	require.True(t, s.reset(newer))
	require.False(t, s.reset(config.NewState()), "an older base is not taken")
	s.mu.Lock()
	s.publish(config.NewState())
	s.mu.Unlock()
	require.Len(t, seen, 1)
	require.Equal(t, guard.ConfigMonotonic, seen[0].Invariant)
	require.Equal(t, newer, s.applied.Load())
}

func TestThinningKeepsEveryChangeOfTheMembers(t *testing.T) {
	var s store
	s.init()
	members := map[ident.Offset]bool{}
	for i := range uint64(3 * maxHistory) {
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
	require.LessOrEqual(t, len(s.history), maxHistory+1)
	for _, state := range s.history {
		delete(members, state.Offset())
	}
	require.Empty(t, members)
}

func TestRestartsDoNotFillTheHistory(t *testing.T) {
	var s store
	s.init()
	for i := range uint64(3 * maxHistory) {
		m := &config.Member{ID: ident.DaemonID(fmt.Sprint("d", i%8)), Incarnation: ident.Incarnation(i + 1), State: config.MemberJoined}
		state := s.applied.Load()
		rec := config.NewRecord(ident.RecordID(fmt.Sprint("r", i)), "o", state.Revision(config.PathOf(m)), m)
		s.append([]*wire.LogEntry{{Offset: i + 1, Record: rec}})
		require.Equal(t, ident.Offset(i+1), s.applied.Load().MembersChanged())
	}
	require.LessOrEqual(t, len(s.history), maxHistory+1)
	require.Len(t, thinned(s.history), 10, "the empty state, eight that each add a daemon, and the last")
}

func TestErrorsOfTheLogAreTyped(t *testing.T) {
	require.True(t, isExpired(fmt.Errorf("read: %w", &extern.LogError{Kind: extern.LogExpired})))
	require.False(t, isExpired(errors.ErrUnsupported))
}
