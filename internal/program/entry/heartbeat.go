package entry

import (
	"net"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/gossip"
)

const (
	// peerListPeriod is the number of full heartbeats from one that lists the known peers to the next. Such a heartbeat also
	// tells of rollouts that ended more than endedStageRepeat ago.
	peerListPeriod   = 10
	endedStageRepeat = 5 * time.Second
	// storedPartHeartbeats is for how many heartbeat periods a part that was added to a KV cache store is reported.
	storedPartHeartbeats = 1.6
	// idleTellers is the number of active daemons that tell daemons without traffic of upstreams' limits and rollouts.
	idleTellers = 2
)

// nextRound returns the heartbeats to send now: full ones to daemons with traffic, and at a longer interval brief
// ones to the other daemons, with what these need to take over.
func (d *Daemon) nextRound() gossip.Round {
	v := d.refreshView()
	idle := fleet.IdleHeartbeatPeriod(v.size)
	now := time.Now()
	idleDue := now.Sub(d.idleSentAt) >= idle || d.idleSentState != d.announced(v)
	if !v.inMesh() {
		targets := v.mesh
		if len(targets) == 0 {
			targets = slices.Concat(v.idle, d.seedAddresses())
		}
		d.idleSentState, d.idleSentAt = d.announced(v), now
		return gossip.Round{Messages: []gossip.Message{{Heartbeat: d.briefHeartbeat(v, idle), Targets: targets}}, NextAfter: idle}
	}
	period := fleet.HeartbeatPeriod(1 + len(v.mesh))
	out := gossip.Round{NextAfter: period}
	if len(v.mesh) > 0 {
		out.Messages = append(out.Messages, gossip.Message{Heartbeat: d.fullHeartbeat(v, period), Targets: v.mesh})
	}
	if idleDue {
		targets := v.idle
		if len(v.mesh) == 0 {
			targets = append(targets, d.seedAddresses()...)
		}
		d.idleSentState, d.idleSentAt = d.announced(v), now
		out.Messages = append(out.Messages, gossip.Message{Heartbeat: d.briefHeartbeat(v, idle), Targets: targets})
	}
	return out
}

// encodeLimits encodes what is known of upstreams' limits; nil for nothing.
func encodeLimits(news []uprate.News) *wire.UpstreamLimits {
	if len(news) == 0 {
		return nil
	}
	out := &wire.UpstreamLimits{}
	for _, n := range news {
		out.Upstream = append(out.Upstream, uint32(n.Upstream.Tag()))
		out.Incarnation = append(out.Incarnation, uint32(n.Incarnation))
		out.Rate = append(out.Rate, float32(n.Rate))
		out.Lifted = append(out.Lifted, n.Lifted)
		out.AgeMs = append(out.AgeMs, uint32(min(n.Age.Milliseconds(), maxAgeMs)))
		out.Confirmed = append(out.Confirmed, n.Confirmed)
	}
	return out
}

// encodeRejectionLimits encodes what is known of upstreams' rejection limits; nil for nothing.
func encodeRejectionLimits(news []reject.News) *wire.RejectionLimits {
	if len(news) == 0 {
		return nil
	}
	out := &wire.RejectionLimits{}
	for _, n := range news {
		out.Upstream = append(out.Upstream, uint32(n.Upstream.Tag()))
		out.Incarnation = append(out.Incarnation, uint32(n.Incarnation))
		out.PerSecond = append(out.PerSecond, float32(n.PerSecond))
		out.Lifted = append(out.Lifted, n.Lifted)
		out.AgeMs = append(out.AgeMs, uint32(min(n.Age.Milliseconds(), maxAgeMs)))
		out.Confirmed = append(out.Confirmed, n.Confirmed)
	}
	return out
}

// announcedState is the state of this daemon whose change is announced to daemons without traffic at once.
type announcedState struct {
	ready, leaving, inMesh bool
	// quarantines is the version of the quarantines, if this daemon tells of them.
	quarantines uint64
}

func (d *Daemon) announced(v *fleetView) announcedState {
	s := announcedState{ready: v.own.Ready, leaving: v.own.Leaving, inMesh: v.inMesh()}
	if v.activeRank < idleTellers {
		s.quarantines = d.detector.Version()
	}
	return s
}

// briefHeartbeat returns the heartbeat that daemons without traffic send and receive.
func (d *Daemon) briefHeartbeat(v *fleetView, period time.Duration) *wire.Beat {
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
		ConfigVersion:    d.configVersion(),
		WeightVersions:   d.weightVersions(),
		TakesRequests:    true,
	}
	for _, service := range d.unreachable() {
		b.UnreachableServices = append(b.UnreachableServices, string(service))
	}
	for _, service := range d.reachedServices() {
		b.ReachedServices = append(b.ReachedServices, string(service))
	}
	d.addLeaderState(b)
	d.addUsage(b, v.inMesh())
	if !v.inMesh() {
		b.Prompts = encodeEvidence(d.detector.News(false))
		return b
	}
	if v.activeRank < idleTellers {
		b.Prompts = encodeEvidence(d.detector.IdleNews())
		b.Limits = encodeLimits(d.upstreamLimits.AllNews())
		b.Rejections = encodeRejectionLimits(d.rejectionLimits.IdleNews())
		b.Rollouts = encodeStages(d.rollouts.Stages())
		for _, s := range b.Rollouts {
			s.Reason = ""
		}
	}
	b.Moves = d.rollouts.Monitor().Stops()
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

// fullHeartbeat returns the heartbeat that daemons with traffic exchange.
func (d *Daemon) fullHeartbeat(v *fleetView, period time.Duration) *wire.Beat {
	b := d.briefHeartbeat(v, period)
	b.Brief, b.Active = false, nil
	b.Limits = encodeLimits(d.upstreamLimits.News())
	b.Rejections = encodeRejectionLimits(d.rejectionLimits.News())
	b.Moves = d.rollouts.Monitor().Digest()
	peerListDue := d.fullHeartbeats.Add(1)%peerListPeriod == 1
	b.Prompts = encodeEvidence(d.detector.News(peerListDue))
	b.Rollouts = encodeStages(slices.DeleteFunc(d.rollouts.Stages(), func(s canary.Stage) bool {
		return !peerListDue && s.State.Ended() && time.Since(s.Since) > endedStageRepeat
	}))
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
	if n := 1 + len(v.mesh); n > maxKVStoreReaders && v.activeRank == 0 {
		// One daemon is enough to inform those that don't follow the KV cache stores themselves.
		for _, h := range d.stores.AddedWithin(fleet.ScaledTimeout(0, storedPartHeartbeats, n)) {
			b.Stored = append(b.Stored, uint64(h))
		}
	}
	if peerListDue {
		for _, p := range d.table.All() {
			b.Peers = append(b.Peers, &wire.KnownPeer{
				Daemon: string(p.ID), PeerAddress: p.PeerAddress, Incarnation: p.Incarnation,
			})
		}
	}
	return b
}

// addUsage adds how much this daemon has admitted of each organisation's requests, or, unless all is set, only of
// organisations of which it has admitted anything.
func (d *Daemon) addUsage(b *wire.Beat, all bool) {
	for id, use := range d.limiter.Usage() {
		if !all && use.Admitted == 0 {
			continue
		}
		usage := &wire.OrganisationUse{Organisation: string(id), Admitted: use.Admitted}
		if use.Converged {
			usage.Balance = &use.Balance
		}
		b.Use = append(b.Use, usage)
	}
}

// storeUnreachableAgeMs is sent in place of the store's age in milliseconds if the last call of the store failed.
const storeUnreachableAgeMs = 1 << 30

func (d *Daemon) storeAgeMs() uint32 {
	if !d.follower.StoreReachable() {
		return storeUnreachableAgeMs
	}
	return uint32(min(d.follower.StoreAge().Milliseconds(), storeUnreachableAgeMs))
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (d *Daemon) configVersion() int64 {
	if c := d.snapshots.Config(); c != nil {
		return c.Version
	}
	return 0
}

// weightVersions returns the sum of the named versions of all models.
func (d *Daemon) weightVersions() int64 {
	sum := int64(0)
	for _, w := range d.snapshots.AllWeights() {
		sum += w.Version
	}
	return sum
}

// seedAddresses returns the peer addresses of the seeds in the settings. They may be out of date.
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
