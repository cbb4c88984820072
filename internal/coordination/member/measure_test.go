package member_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
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
)

var changes = flag.Int("changes", 10, "changes whose way into force is measured")

// forceTarget is the stated bound for a change to be in force everywhere.
const forceTarget = 11 * time.Second

// TestChangesAreInForceEverywhereInTime logs the virtual time from the operator's answer on.
func TestChangesAreInForceEverywhereInTime(t *testing.T) {
	inBubble(t, 8, member.RuleNone, func(s *sim) {
		var applied, inForce []time.Duration
		for i := range *changes {
			result, err := s.nodes[i%8].process.set(context.Background(), fmt.Sprint(i), i)
			require.NoError(t, err)
			accepted := time.Now()
			s.eventually(forceTarget, "used everywhere", func() bool { return s.everywhere(result.Offset, appliedOffset) })
			applied = append(applied, time.Since(accepted))
			s.eventually(forceTarget-time.Since(accepted), "in force everywhere", func() bool {
				return s.everywhere(result.Offset, inForceOffset)
			})
			inForce = append(inForce, time.Since(accepted))
		}
		t.Logf("accepted to used by all of 8: p50 %s p99 %s max %s", at(applied, 50), at(applied, 99), at(applied, 100))
		t.Logf("accepted to known in force on all of 8: p50 %s p99 %s max %s", at(inForce, 50), at(inForce, 99), at(inForce, 100))
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

// echo answers heartbeats at once from memory.
type echo struct {
	offset uint64
}

// Heartbeat implements member.Peers.
func (e *echo) Heartbeat(_ context.Context, id ident.DaemonID, _ *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return &wire.HeartbeatResponse{DaemonId: string(id), Incarnation: echoIncarnation, AppliedOffset: e.offset}, nil
}

// BenchmarkHeartbeats measures one second of heartbeats of one daemon: to all its witnesses, and the answers to theirs.
// With each heartbeat go the sizes of both messages, without the framing of HTTP/2.
func BenchmarkHeartbeats(b *testing.B) {
	for _, daemons := range []int{5, 8, 16, 32, 64} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, uint64(daemons)) })
	}
}

// BenchmarkHeartbeatsWithoutForce is BenchmarkHeartbeats while all have joined and no record comes into force.
func BenchmarkHeartbeatsWithoutForce(b *testing.B) {
	for _, daemons := range []int{16, 64} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) { benchmarkHeartbeats(b, daemons, 0) })
	}
}

func benchmarkHeartbeats(b *testing.B, daemons int, answered uint64) {
	log := &fakes.Log{}
	client := &fakes.LogClient{Log: log}
	follower := &replay.Follower{Log: client}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	defer follower.Close()
	writer := &replay.Writer{Log: client, Follower: follower}
	for i := range daemons {
		m := &config.Member{ID: ident.DaemonID(fmt.Sprint("daemon-", i)), Incarnation: echoIncarnation, State: config.MemberJoined}
		if _, err := writer.Write(ctx, config.NewRecord(replay.NewRecordID(), "o", 0, m)); err != nil {
			b.Fatal(err)
		}
	}
	fleet := &member.Fleet{
		Self:     config.Member{ID: "daemon-0"},
		Follower: follower,
		Writer:   writer,
		Peers:    &echo{offset: answered},
	}
	fleet.Boot(ctx)
	req := &wire.HeartbeatRequest{Incarnation: echoIncarnation, AppliedOffset: answered}
	b.ReportAllocs()
	for b.Loop() {
		fleet.BeatOnce(ctx)
		for i := 1; i < daemons; i++ {
			req.DaemonId = fmt.Sprint("daemon-", i)
			if _, err := fleet.HandleHeartbeat(req); err != nil {
				b.Fatal(err)
			}
		}
	}
	resp, _ := fleet.HandleHeartbeat(req)
	b.ReportMetric(float64((daemons-1)*2*(proto.Size(req)+proto.Size(resp))), "messageBytes/s")
}

// restartTarget is the stated bound for a restarted daemon to be warm.
const restartTarget = time.Second

// TestARestartedDaemonIsWarmAtOnce logs the virtual time from the start to the first serving lease.
func TestARestartedDaemonIsWarmAtOnce(t *testing.T) {
	for name, logUp := range map[string]bool{"log up": true, "log down": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 8, member.RuleNone, func(s *sim) {
				if !logUp {
					s.logOnly()
				}
				s.run(5 * time.Second)
				var warm []time.Duration
				for i := range *changes {
					n := s.nodes[i%8]
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
