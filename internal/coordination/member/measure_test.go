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

var changes = flag.Int("changes", 10, "changes whose way into force is measured")

// forceTarget is the stated bound for a change to be in force everywhere.
const forceTarget = 11 * time.Second

// TestChangesAreInForceEverywhereInTime logs the virtual time from the operator's answer on.
func TestChangesAreInForceEverywhereInTime(t *testing.T) {
	for _, z := range []size{{daemons: 8}, {daemons: 32}} {
		t.Run(fmt.Sprint(z.daemons), z.checkChanges)
	}
}

func (z size) checkChanges(t *testing.T) {
	t.Helper()
	z.inBubble(t, member.RuleNone, func(s *sim) {
		var applied, inForce []time.Duration
		for i := range *changes {
			result, err := s.nodes[i%z.daemons].process.set(context.Background(), fmt.Sprint(i), i)
			require.NoError(t, err)
			accepted := time.Now()
			s.eventually(forceTarget, "used everywhere", func() bool { return s.everywhere(result.Offset, appliedOffset) })
			applied = append(applied, time.Since(accepted))
			s.eventually(forceTarget-time.Since(accepted), "in force everywhere", func() bool {
				return s.everywhere(result.Offset, inForceOffset)
			})
			inForce = append(inForce, time.Since(accepted))
		}
		t.Logf("accepted to used by all of %d: p50 %s p99 %s max %s", z.daemons, at(applied, 50), at(applied, 99), at(applied, 100))
		t.Logf("accepted to known in force on all of %d: p50 %s p99 %s max %s", z.daemons, at(inForce, 50), at(inForce, 99), at(inForce, 100))
	})
}

func appliedOffset(f *replay.Follower) ident.Offset { return f.State().Offset() }

func inForceOffset(f *replay.Follower) ident.Offset { return f.InForce().Offset() }

func (s *sim) everywhere(offset ident.Offset, at func(*replay.Follower) ident.Offset) bool {
	for _, n := range s.nodes {
		if at(n.process.follower) < offset {
			return false
		}
	}
	return true
}

func at(d []time.Duration, percent int) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, len(d)*percent/100)]
}

// echoIncarnation is that of every daemon but the measured one, in its record, its answers and its heartbeats.
const echoIncarnation = 1764800000000

// echo answers heartbeats at once from memory, as daemons do that have heard from all of their groups.
type echo struct {
	ids []ident.DaemonID
	// offset is that of the last join, applied the one that is answered.
	offset, applied uint64
	size            atomic.Int64
}

// Heartbeat implements member.Peers.
func (e *echo) Heartbeat(_ context.Context, id ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	resp := &wire.HeartbeatResponse{DaemonId: string(id), Incarnation: echoIncarnation, AppliedOffset: e.applied}
	if req.GetRelay() {
		groups := member.GroupCount(len(e.ids))
		size := 0
		for _, other := range e.ids {
			if rhash.Group(other, groups) == rhash.Group(id, groups) {
				size++
			}
		}
		resp.Heard = []*wire.Heard{{
			MembersOffset: e.offset,
			AppliedOffset: e.applied,
			AgeMs:         1,
			Groups:        uint32(groups),
			Daemons:       bytes.Repeat([]byte{0xff}, (size+7)/8),
		}}
	}
	e.size.Add(int64(proto.Size(req) + proto.Size(resp)))
	return resp, nil
}

// askers returns the daemons that send heartbeats to the first one, and from which on they ask it to relay.
func (e *echo) askers(self ident.DaemonID, grouped bool) (ids []ident.DaemonID, relay int) {
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
	relay = len(ids)
	// Each daemon of another group asks one of this group.
	return append(ids, others[:len(others)/(relay+1)]...), relay
}

var (
	benchSizes = []int{5, 8, 16, 32, 64, 128, 256, 410}
	// allToAll is a limit that no fleet reaches.
	allToAll = 1 << 20
)

// BenchmarkHeartbeats measures one second of heartbeats of one daemon: to all that it sends them to, and the answers to
// those that it gets. With each heartbeat go the sizes of both messages, without the framing of HTTP/2.
func BenchmarkHeartbeats(b *testing.B) {
	for _, daemons := range benchSizes {
		b.Run(fmt.Sprint("all/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, allToAll, true) })
		if daemons >= 16 {
			b.Run(fmt.Sprint("groups/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, 1, true) })
		}
	}
}

// BenchmarkHeartbeatsWithoutForce is BenchmarkHeartbeats while all have joined and no record comes into force.
func BenchmarkHeartbeatsWithoutForce(b *testing.B) {
	for _, daemons := range []int{16, 64} {
		b.Run(fmt.Sprint("all/", daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, allToAll, false) })
	}
}

func benchmarkHeartbeats(b *testing.B, daemons, direct int, inForce bool) {
	b.Helper()
	log := &fakes.Log{}
	client := &fakes.LogClient{Log: log}
	follower := &replay.Follower{Log: client}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	defer follower.Close()
	writer := &replay.Writer{Log: client, Follower: follower, AppendInterval: time.Nanosecond}
	peers := &echo{offset: uint64(daemons)}
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
	fleet := &member.Membership{
		Self:          config.Member{ID: "daemon-0"},
		Follower:      follower,
		Writer:        writer,
		Peers:         peers,
		FullMeshLimit: direct,
	}
	fleet.Boot(ctx)
	askers, relay := peers.askers(fleet.Self.ID, direct < daemons)
	req := &wire.HeartbeatRequest{Incarnation: echoIncarnation, AppliedOffset: peers.applied}
	b.ReportAllocs()
	rounds := 0
	for b.Loop() {
		rounds++
		fleet.BeatOnce(ctx)
		for i, id := range askers {
			req.DaemonId, req.Relay = string(id), i >= relay
			resp, err := fleet.HandleHeartbeat(req)
			if err != nil {
				b.Fatal(err)
			}
			peers.size.Add(int64(proto.Size(req) + proto.Size(resp)))
		}
	}
	view := fleet.View()
	require.Len(b, view.HeartbeatAcks, daemons-1, "all others support a lease")
	b.ReportMetric(float64(peers.size.Load())/float64(rounds), "messageBytes/s")
	b.ReportMetric(float64(len(askers)), "answered/s")
}

// restartTarget is the stated bound for a restarted daemon to be warm.
const restartTarget = time.Second

// TestARestartedDaemonIsWarmAtOnce logs the virtual time from the start to the first serving lease.
func TestARestartedDaemonIsWarmAtOnce(t *testing.T) {
	for _, z := range []size{{daemons: 8}, {daemons: 32}} {
		z.checkRestarts(t)
	}
}

func (z size) checkRestarts(t *testing.T) {
	t.Helper()
	for name, logUp := range map[string]bool{"log up": true, "log down": false} {
		t.Run(fmt.Sprint(z.daemons, " ", name), func(t *testing.T) {
			z.inBubble(t, member.RuleNone, func(s *sim) {
				if !logUp {
					s.logOnly()
				}
				s.run(5 * time.Second)
				var warm []time.Duration
				for i := range *changes {
					n := s.nodes[i%z.daemons]
					before := n.process.follower.InForce().Offset()
					n.crash()
					s.run(time.Second)
					started := time.Now()
					n.start()
					s.eventually(restartTarget, "serves", func() bool { return n.process.holder.Valid() })
					warm = append(warm, time.Since(started))
					require.GreaterOrEqual(t, n.process.follower.State().Offset(), before)
					s.run(time.Second)
				}
				t.Logf("start to serving lease, %s: p50 %s p99 %s max %s", name, at(warm, 50), at(warm, 99), at(warm, 100))
			})
		})
	}
}
