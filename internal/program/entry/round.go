package entry

import (
	"net"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/gossip"
)

const (
	// peersEvery is the number of full beats between two that list the known peers.
	peersEvery = 10
	// storedBeats is how many beats tell of a part that the KV cache store has got.
	storedBeats = 1.6
)

// round returns what the daemon tells the others now: all it knows to those with traffic, and from time to time what
// the rest must know to take over.
func (d *Daemon) round() gossip.Round {
	v := d.look()
	rest := fleet.IdleHeartbeatPeriod(v.size)
	now := time.Now()
	restDue := now.Sub(d.restAt) >= rest || d.told != v.state()
	if !v.meshed() {
		targets := v.mesh
		if len(targets) == 0 {
			targets = slices.Concat(v.rest, d.seedAddresses())
		}
		d.told, d.restAt = v.state(), now
		return gossip.Round{Messages: []gossip.Message{{Heartbeat: d.brief(v, rest), Targets: targets}}, NextAfter: rest}
	}
	period := fleet.HeartbeatPeriod(1 + len(v.mesh))
	out := gossip.Round{NextAfter: period}
	if len(v.mesh) > 0 {
		out.Messages = append(out.Messages, gossip.Message{Heartbeat: d.beat(v, period), Targets: v.mesh})
	}
	if restDue {
		targets := v.rest
		if len(v.mesh) == 0 {
			targets = append(targets, d.seedAddresses()...)
		}
		d.told, d.restAt = v.state(), now
		out.Messages = append(out.Messages, gossip.Message{Heartbeat: d.brief(v, rest), Targets: targets})
	}
	return out
}

// restState is what the rest of the fleet must hear at once when it changes.
type restState struct {
	ready, leaving, meshed bool
}

func (v *fleetView) state() restState { return restState{v.own.Ready, v.own.Leaving, v.meshed()} }

// brief returns what daemons without traffic hear and tell.
func (d *Daemon) brief(v *fleetView, period time.Duration) *wire.Beat {
	b := &wire.Beat{
		Daemon:           string(v.own.ID),
		Incarnation:      v.own.Incarnation,
		CallerAddress:    v.own.CallerAddress,
		PeerAddress:      v.own.PeerAddress,
		FailureDomain:    string(v.own.Domain),
		Ready:            v.own.Ready,
		Leaving:          v.own.Leaving,
		Capacity:         float64(v.own.Capacity),
		Demand:           float64(v.own.Demand),
		Serving:          v.own.Serving,
		PeriodMs:         uint32(period.Milliseconds()),
		Brief:            true,
		StoreAgeMs:       d.storeAgeMs(),
		OperatorsNext:    uint64(d.follower.NextOffset(extern.TopicOperators)),
		UpstreamsNext:    uint64(d.follower.NextOffset(extern.TopicUpstreams)),
		UpstreamsChanged: uint64(d.follower.LastChangeOffset(extern.TopicUpstreams)),
		UpstreamsSince:   uint64(d.follower.KnownSinceOffset(extern.TopicUpstreams)),
		CacheStores:      d.stores.ReachableAddresses(),
	}
	d.tellDuty(b)
	d.tellUse(b, v.meshed())
	if !v.meshed() {
		return b
	}
	for _, p := range v.active {
		if p.ID == v.own.ID || p.ReportedByPeer {
			continue
		}
		b.Active = append(b.Active, &wire.ActiveDaemon{
			Daemon: string(p.ID), Incarnation: p.Incarnation, PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress,
			FailureDomain: string(p.Domain), Capacity: float64(p.Capacity), Demand: float64(p.Demand),
		})
	}
	return b
}

// beat returns all that the daemon tells those with traffic.
func (d *Daemon) beat(v *fleetView, period time.Duration) *wire.Beat {
	b := d.brief(v, period)
	b.Brief, b.Active = false, nil
	loads, fetching := d.placer.LocalWork()
	b.Fetching = uint32(max(0, fetching))
	b.Loads = &wire.UpstreamLoads{}
	for id, load := range loads {
		b.Loads.Upstream = append(b.Loads.Upstream, uint32(id.Tag()))
		b.Loads.Requests = append(b.Loads.Requests, uint32(max(0, load.Requests)))
		b.Loads.Unread = append(b.Loads.Unread, uint32(max(0, load.PrefillTokens)))
		b.Loads.Late = append(b.Loads.Late, uint32(max(0, load.LatePrefillTokens)))
	}
	b.Sent = &wire.SentChains{}
	for _, sent := range d.placer.SentChains() {
		b.Sent.Chain = append(b.Sent.Chain, uint32(sent.Chain))
		b.Sent.Upstream = append(b.Sent.Upstream, uint32(sent.Engine.Tag()))
	}
	if n := 1 + len(v.mesh); n > maxCacheReaders && v.rank == 0 {
		// One daemon is enough to tell those who don't follow the KV cache store.
		for _, h := range d.stores.AddedWithin(fleet.ScaledTimeout(0, storedBeats, n)) {
			b.Stored = append(b.Stored, uint64(h))
		}
	}
	if d.beats.Add(1)%peersEvery == 1 {
		for _, p := range d.table.All() {
			b.Peers = append(b.Peers, &wire.KnownPeer{
				Daemon: string(p.ID), PeerAddress: p.PeerAddress, Incarnation: p.Incarnation,
			})
		}
	}
	return b
}

// tellUse adds what this daemon has admitted of each organisation, or of those alone of which it has admitted something.
func (d *Daemon) tellUse(b *wire.Beat, all bool) {
	for id, use := range d.meter.Usage() {
		if !all && use.Admitted == 0 {
			continue
		}
		told := &wire.OrganisationUse{Organisation: string(id), Admitted: use.Admitted}
		if use.Converged {
			told.Balance = &use.Balance
		}
		b.Use = append(b.Use, told)
	}
}

// storeFailsMs is told in place of the store's age by a daemon whose last call failed.
const storeFailsMs = 1 << 30

func (d *Daemon) storeAgeMs() uint32 {
	if !d.follower.StoreReachable() {
		return storeFailsMs
	}
	return uint32(min(d.follower.StoreAge().Milliseconds(), storeFailsMs))
}

// seedAddresses returns the peer addresses of the settings' seeds, which may be stale.
func (d *Daemon) seedAddresses() []string {
	_, port, err := net.SplitHostPort(d.Settings.Listen.Peers)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range *d.seeds.Load() {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		if address := net.JoinHostPort(host, port); address != d.Settings.Listen.Peers {
			out = append(out, address)
		}
	}
	return out
}
