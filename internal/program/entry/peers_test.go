package entry

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Heartbeats carry parallel columns. Entries beyond the shortest column, or of unlisted upstreams, must be skipped.
func TestHeartbeatColumnsOfDifferentLengthAreTruncated(t *testing.T) {
	a, b := &view.Upstream{ID: "a"}, &view.Upstream{ID: "b"}
	listed := map[ident.UpstreamTag]*view.Upstream{a.ID.Tag(): a, b.ID.Tag(): b}
	tags := []uint32{uint32(a.ID.Tag()), 7, uint32(b.ID.Tag())}
	full := &wire.UpstreamLoads{Upstream: tags, Requests: []uint32{1, 2, 3}, Unread: []uint32{10, 20, 30}, Late: []uint32{0, 0, 30}}
	require.Equal(t, map[ident.UpstreamID]place.OutstandingWork{"a": {Requests: 1, PrefillTokens: 10}, "b": {Requests: 3, PrefillTokens: 30, LatePrefillTokens: 30}},
		decodeLoads(full, listed), "upstreams that are not listed are skipped")
	short := &wire.UpstreamLoads{Upstream: tags, Requests: []uint32{1, 2, 3}, Unread: []uint32{10, 20}, Late: []uint32{0, 0, 30}}
	require.Equal(t, map[ident.UpstreamID]place.OutstandingWork{"a": {Requests: 1, PrefillTokens: 10}}, decodeLoads(short, listed))
	require.Empty(t, decodeLoads(nil, listed))
	require.Equal(t, []place.SentChain{{Chain: 5, Engine: "a"}}, decodeSentChains(&wire.SentChains{Chain: []uint32{5, 6, 7}, Upstream: tags[:2]}, listed))
	require.Empty(t, decodeSentChains(&wire.SentChains{Chain: []uint32{5}}, listed))
}

// A malformed heartbeat, or one with absurd values, must not crash a daemon or keep it from serving.
func TestMalformedHeartbeatsDoNotStopDaemon(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 2})
	d := f.start("d1", nil)
	f.ready(1)
	c, err := net.Dial("udp4", d.Settings.Listen.Peers)
	require.NoError(t, err)
	defer c.Close()
	maxUint32 := uint32(math.MaxUint32)
	tag := uint32(ident.UpstreamID("e1").Tag())
	malformed := []*wire.Beat{
		{},
		{Daemon: "x", Incarnation: math.MaxUint64, Sequence: math.MaxUint64, PeriodMs: maxUint32, StoreAgeMs: maxUint32, Ready: true, Serving: true},
		{Daemon: "x", Brief: true, Active: []*wire.ActiveDaemon{nil, {}, {Daemon: "y", PeerAddress: "nonsense", Capacity: math.Inf(1)}}},
		{Daemon: "y", Capacity: math.NaN(), Demand: math.Inf(-1), Ready: true, CallerAddress: "nonsense", PeerAddress: "also"},
		{Daemon: "z", OperatorsNext: math.MaxUint64, UpstreamsNext: math.MaxUint64, UpstreamsChanged: math.MaxUint64},
		{Daemon: "w", Term: math.MaxUint64, LoadMs: maxUint32, LoadsAtOnce: maxUint32, Loading: []*wire.LoadingEngine{{Upstream: "e1", ForMs: maxUint32}, {}}},
		{Daemon: "v", Fetching: maxUint32, Loads: &wire.UpstreamLoads{Upstream: []uint32{tag, tag}, Requests: []uint32{maxUint32}, Unread: []uint32{maxUint32}}},
		{Daemon: "u", Sent: &wire.SentChains{Chain: []uint32{1}, Upstream: []uint32{tag}}, Weights: []*wire.NamedWeights{{Model: "m", Version: math.MinInt64, AgeMs: maxUint32}}},
		{Daemon: "t", Use: []*wire.OrganisationUse{{Organisation: "o", Admitted: math.NaN()}, {Organisation: "none", Admitted: math.Inf(1)}}},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 400 {
		raw, err := proto.Marshal(malformed[i%len(malformed)])
		require.NoError(t, err)
		if i >= len(malformed) && len(raw) > 0 {
			// Flip a few bits and cut off the end.
			for range 1 + rng.IntN(3) {
				raw[rng.IntN(len(raw))] ^= byte(1 << rng.IntN(8))
			}
			raw = raw[:1+rng.IntN(len(raw))]
		}
		_, err = c.Write(raw)
		require.NoError(t, err)
	}
	f.eventually(func() bool {
		resp := f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m")
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, "the daemon no longer serves requests")
	require.LessOrEqual(t, d.weightLoader.Estimate().LoadTime.Minutes(), 1.0, "the load time of a malformed heartbeat was adopted")
}
