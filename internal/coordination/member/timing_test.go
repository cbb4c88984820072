package member_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

var changes = flag.Int("changes", 10, "number of changes and of restarts to time")

// inForceTarget is the specified bound for a change to be in force on all daemons.
const inForceTarget = 11 * time.Second

// TestChangesAreInForceEverywhereWithinTarget guards against changes that come into force too slowly. It logs the
// simulated time since the operator got the response.
func TestChangesAreInForceEverywhereWithinTarget(t *testing.T) {
	for _, fc := range []fleetConfig{{daemons: 8}, {daemons: 32}} {
		t.Run(fmt.Sprint(fc.daemons), fc.checkChanges)
	}
}

func (fc fleetConfig) checkChanges(t *testing.T) {
	t.Helper()
	fc.runScenario(t, member.RuleNone, func(s *sim) {
		var applied, inForce []time.Duration
		for i := range *changes {
			result, err := s.nodes[i%fc.daemons].process.writeSetting(context.Background(), fmt.Sprint(i), i)
			require.NoError(t, err)
			accepted := time.Now()
			s.eventually(inForceTarget, "the change is applied by all daemons", func() bool { return s.allReached(result.Offset, appliedOffset) })
			applied = append(applied, time.Since(accepted))
			s.eventually(inForceTarget-time.Since(accepted), "the change is in force on all daemons", func() bool {
				return s.allReached(result.Offset, inForceOffset)
			})
			inForce = append(inForce, time.Since(accepted))
		}
		t.Logf("accepted to applied by all of %d: p50 %s p99 %s max %s", fc.daemons, percentile(applied, 50), percentile(applied, 99), percentile(applied, 100))
		t.Logf("accepted to known in force on all of %d: p50 %s p99 %s max %s", fc.daemons, percentile(inForce, 50), percentile(inForce, 99), percentile(inForce, 100))
	})
}

func appliedOffset(f *replay.Follower) ident.Offset { return f.State().Offset() }

func inForceOffset(f *replay.Follower) ident.Offset { return f.InForce().Offset() }

func (s *sim) allReached(offset ident.Offset, offsetOf func(*replay.Follower) ident.Offset) bool {
	for _, n := range s.nodes {
		if offsetOf(n.process.follower) < offset {
			return false
		}
	}
	return true
}

func percentile(durations []time.Duration, percent int) time.Duration {
	slices.Sort(durations)
	return durations[min(len(durations)-1, len(durations)*percent/100)]
}

// echoIncarnation is the incarnation of every daemon but the one under test, in its record, its responses and its
// heartbeats.
const echoIncarnation = 1764800000000

// echoPeers answers heartbeats from memory without delay, as daemons do that have acknowledgements of all of their
// groups.
type echoPeers struct {
	ids []ident.DaemonID
	// offset is the offset of the last join record, applied the one that responses name.
	offset, applied uint64
	messageBytes    atomic.Int64
}

// Heartbeat implements member.Peers.
func (e *echoPeers) Heartbeat(_ context.Context, id ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	resp := &wire.HeartbeatResponse{DaemonId: string(id), Incarnation: echoIncarnation, AppliedOffset: e.applied}
	if req.GetRelay() {
		groups := member.GroupCount(len(e.ids))
		groupSize := 0
		for _, other := range e.ids {
			if rhash.Group(other, groups) == rhash.Group(id, groups) {
				groupSize++
			}
		}
		resp.Heard = []*wire.Heard{{
			MembersOffset: e.offset,
			AppliedOffset: e.applied,
			AgeMs:         1,
			Groups:        uint32(groups),
			Daemons:       bytes.Repeat([]byte{0xff}, (groupSize+7)/8),
		}}
	}
	e.messageBytes.Add(int64(proto.Size(req) + proto.Size(resp)))
	return resp, nil
}

// senders returns the daemons that send heartbeats to self, and the index of the first one that asks it to relay.
func (e *echoPeers) senders(self ident.DaemonID, grouped bool) (ids []ident.DaemonID, firstRelay int) {
	groups := 1
	if grouped {
		groups = member.GroupCount(len(e.ids))
	}
	var others []ident.DaemonID
	for _, id := range e.ids {
		switch {
		case id == self:
		case rhash.Group(id, groups) == rhash.Group(self, groups):
			ids = append(ids, id)
		default:
			others = append(others, id)
		}
	}
	firstRelay = len(ids)
	// Each daemon of another group sends to one daemon of this group.
	return append(ids, others[:len(others)/(firstRelay+1)]...), firstRelay
}

var (
	benchSizes = []int{5, 8, 16, 32, 64, 128, 256, 410}
	// unlimitedMesh is a FullMeshLimit that no fleet reaches.
	unlimitedMesh = 1 << 20
)

// BenchmarkHeartbeats measures one second of heartbeats of one daemon: those that it sends and the answers to those
// that it receives. The reported sizes are of requests and responses, without the framing of HTTP/2.
func BenchmarkHeartbeats(b *testing.B) {
	for _, daemons := range benchSizes {
		b.Run(fmt.Sprint("all/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, unlimitedMesh, true) })
		if daemons >= 16 {
			b.Run(fmt.Sprint("groups/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, 1, true) })
		}
	}
}

// BenchmarkHeartbeatsWithoutForce is BenchmarkHeartbeats in a fleet where all have joined and no record is in force.
func BenchmarkHeartbeatsWithoutForce(b *testing.B) {
	for _, daemons := range []int{16, 64} {
		b.Run(fmt.Sprint("all/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, unlimitedMesh, false) })
	}
}

func benchmarkHeartbeats(b *testing.B, daemons, fullMeshLimit int, inForce bool) {
	b.Helper()
	log := &fakes.Log{}
	client := &fakes.LogClient{Log: log}
	follower := &replay.Follower{Log: client}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	defer follower.Close()
	writer := &replay.Writer{Log: client, Follower: follower, AppendInterval: time.Nanosecond}
	peers := &echoPeers{offset: uint64(daemons)}
	if inForce {
		peers.applied = peers.offset
	}
	for i := range daemons {
		m := &config.Member{ID: ident.DaemonID(fmt.Sprint("daemon-", i)), Incarnation: echoIncarnation, State: config.MemberJoined}
		if _, err := writer.Write(ctx, config.NewRecord(replay.NewRecordID(), "o", 0, m)); err != nil {
			b.Fatal(err)
		}
		peers.ids = append(peers.ids, m.ID)
	}
	slices.Sort(peers.ids)
	membership := &member.Membership{
		Self:          config.Member{ID: "daemon-0"},
		Follower:      follower,
		Writer:        writer,
		Peers:         peers,
		FullMeshLimit: fullMeshLimit,
	}
	membership.Boot(ctx)
	senders, firstRelay := peers.senders(membership.Self.ID, fullMeshLimit < daemons)
	req := &wire.HeartbeatRequest{Incarnation: echoIncarnation, AppliedOffset: peers.applied}
	b.ReportAllocs()
	iterations := 0
	for b.Loop() {
		iterations++
		membership.HeartbeatOnce(ctx)
		for i, id := range senders {
			req.DaemonId, req.Relay = string(id), i >= firstRelay
			resp, err := membership.HandleHeartbeat(req)
			if err != nil {
				b.Fatal(err)
			}
			peers.messageBytes.Add(int64(proto.Size(req) + proto.Size(resp)))
		}
	}
	view := membership.View()
	require.Len(b, view.HeartbeatAcks, daemons-1, "all other daemons must support a lease")
	b.ReportMetric(float64(peers.messageBytes.Load())/float64(iterations), "messageBytes/s")
	b.ReportMetric(float64(len(senders)), "answered/s")
}

// restartTarget is the specified bound for a restarted daemon to serve.
const restartTarget = time.Second

// TestARestartedDaemonServesWithinTarget guards against daemons that serve too late after a restart. It logs the
// simulated time from the start to the first serving lease.
func TestARestartedDaemonServesWithinTarget(t *testing.T) {
	for _, fc := range []fleetConfig{{daemons: 8}, {daemons: 32}} {
		fc.checkRestarts(t)
	}
}

func (fc fleetConfig) checkRestarts(t *testing.T) {
	t.Helper()
	for name, logUp := range map[string]bool{"log up": true, "log down": false} {
		t.Run(fmt.Sprint(fc.daemons, " ", name), func(t *testing.T) {
			fc.runScenario(t, member.RuleNone, func(s *sim) {
				if !logUp {
					s.limitLogTo()
				}
				s.runFor(5 * time.Second)
				var untilServing []time.Duration
				for i := range *changes {
					n := s.nodes[i%fc.daemons]
					before := n.process.follower.InForce().Offset()
					n.crash()
					s.runFor(time.Second)
					started := time.Now()
					n.start()
					s.eventually(restartTarget, "the daemon serves", func() bool { return n.process.holder.Valid() })
					untilServing = append(untilServing, time.Since(started))
					require.GreaterOrEqual(t, n.process.follower.State().Offset(), before)
					s.runFor(time.Second)
				}
				t.Logf("start to serving lease, %s: p50 %s p99 %s max %s", name, percentile(untilServing, 50), percentile(untilServing, 99), percentile(untilServing, 100))
			})
		})
	}
}
