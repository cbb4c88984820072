package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/admit"
	"github.com/gooseberryway/gooseberryway/internal/coordination/feed"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// maintenancePeriod is how often silent peers are removed and missing records looked for.
	maintenancePeriod = 100 * time.Millisecond
	// membersReadPeriod is how often the list of members is read while no live peer is known.
	membersReadPeriod = 3 * time.Second
	// rejoinSpread is the time over which the daemons write their records of members again after a restore of the store.
	rejoinSpread = 3 * time.Second
	// catchUpDelay is how long a peer must have been ahead of this daemon before it is asked for its records.
	catchUpDelay = 80 * time.Millisecond
)

// applyHeartbeat applies a peer's heartbeat.
func (d *Daemon) applyHeartbeat(b *wire.Beat) {
	id := ident.DaemonID(b.GetDaemon())
	p := fleet.Peer{
		ID:               id,
		Incarnation:      b.GetIncarnation(),
		CallerAddress:    b.GetCallerAddress(),
		PeerAddress:      b.GetPeerAddress(),
		Domain:           ident.FailureDomain(b.GetFailureDomain()),
		Ready:            b.GetReady(),
		Leaving:          b.GetLeaving(),
		OperatorsOffset:  ident.Offset(b.GetOperatorsNext()),
		UpstreamsOffset:  ident.Offset(b.GetUpstreamsNext()),
		LastChangeOffset: ident.Offset(b.GetUpstreamsChanged()),
		KnownSinceOffset: ident.Offset(b.GetUpstreamsSince()),
		ConfigVersion:    b.GetConfigVersion(),
		WeightVersions:   b.GetWeightVersions(),
		StoreAge:         time.Duration(b.GetStoreAgeMs()) * time.Millisecond,
		Term:             ident.Offset(b.GetTerm()),
		Capacity:         fleet.RequestsPerSecond(b.GetCapacity()),
		Demand:           fleet.RequestsPerSecond(b.GetDemand()),
		Serving:          b.GetServing(),
		HeartbeatPeriod:  time.Duration(b.GetPeriodMs()) * time.Millisecond,
		TakesRequests:    b.GetTakesRequests(),
	}
	for _, service := range b.GetUnreachableServices() {
		p.UnreachableServices = append(p.UnreachableServices, view.ServiceID(service))
	}
	for _, service := range b.GetReachedServices() {
		p.ReachedServices = append(p.ReachedServices, view.ServiceID(service))
	}
	if !d.table.ApplyHeartbeat(p, b.GetSequence()) {
		return
	}
	d.applyLeaderState(b)
	d.applyLimits(b.GetLimits())
	d.applyRejectionLimits(b.GetRejections())
	d.applyStages(b.GetRollouts())
	d.detector.Apply(decodeEvidence(b.GetPrompts()))
	d.rollouts.Monitor().Merge(id, ident.Incarnation(b.GetIncarnation()), b.GetMoves())
	if b.GetBrief() {
		d.applyBriefHeartbeat(b)
		return
	}
	d.stores.MarkReachedByPeer(b.GetCacheStores())
	partHashes := make([]kvdir.PartHash, 0, len(b.GetStored()))
	for _, h := range b.GetStored() {
		partHashes = append(partHashes, kvdir.PartHash(h))
	}
	d.stores.AddFromPeer(partHashes)
	for _, k := range b.GetPeers() {
		d.table.AddAddress(ident.DaemonID(k.GetDaemon()), k.GetIncarnation(), k.GetPeerAddress())
	}
	listed := d.snapshots.Upstreams().ByTag
	d.placer.SetPeerWork(id, decodeLoads(b.GetLoads(), listed), ident.Tokens(b.GetFetching()))
	d.placer.ApplySentChains(decodeSentChains(b.GetSent(), listed))
	d.limiter.ApplyPeerUsage(id, b.GetIncarnation(), decodeUsage(b))
}

// decodeLoads decodes the outstanding work for each listed upstream. The columns may differ in length; entries that
// lack a value are skipped.
func decodeLoads(columns *wire.UpstreamLoads, listed map[ident.UpstreamTag]*view.Upstream) map[ident.UpstreamID]place.OutstandingWork {
	requests, prefill, late := columns.GetRequests(), columns.GetUnread(), columns.GetLate()
	out := make(map[ident.UpstreamID]place.OutstandingWork, len(columns.GetUpstream()))
	for i, tag := range columns.GetUpstream() {
		u := listed[ident.UpstreamTag(tag)]
		if u == nil || i >= len(requests) || i >= len(prefill) || i >= len(late) {
			continue
		}
		out[u.ID] = place.OutstandingWork{
			Requests: int(requests[i]), PrefillTokens: ident.Tokens(prefill[i]), LatePrefillTokens: ident.Tokens(late[i]),
		}
	}
	return out
}

// applyLimits applies what a peer tells of the limits of listed upstreams. The columns may differ in length; entries that
// lack a value are skipped.
func (d *Daemon) applyLimits(columns *wire.UpstreamLimits) {
	listed := d.snapshots.Upstreams().ByTag
	incarnations, rates, lifted := columns.GetIncarnation(), columns.GetRate(), columns.GetLifted()
	ages, confirmed := columns.GetAgeMs(), columns.GetConfirmed()
	for i, tag := range columns.GetUpstream() {
		u := listed[ident.UpstreamTag(tag)]
		if u == nil || i >= min(len(incarnations), len(rates), len(lifted), len(ages), len(confirmed)) ||
			incarnations[i] != uint32(u.Incarnation) {
			continue
		}
		d.upstreamLimits.ApplyNews(u, uprate.News{
			Upstream: u.ID, Incarnation: u.Incarnation, Rate: ident.RequestsPerSecond(rates[i]),
			Lifted: lifted[i], Age: time.Duration(ages[i]) * time.Millisecond, Confirmed: confirmed[i],
		})
	}
}

// applyRejectionLimits does the same for rejection limits.
func (d *Daemon) applyRejectionLimits(columns *wire.RejectionLimits) {
	listed := d.snapshots.Upstreams().ByTag
	incarnations, perSecond, lifted := columns.GetIncarnation(), columns.GetPerSecond(), columns.GetLifted()
	ages, confirmed := columns.GetAgeMs(), columns.GetConfirmed()
	for i, tag := range columns.GetUpstream() {
		u := listed[ident.UpstreamTag(tag)]
		if u == nil || i >= min(len(incarnations), len(perSecond), len(lifted), len(ages), len(confirmed)) ||
			incarnations[i] != uint32(u.Incarnation) {
			continue
		}
		d.rejectionLimits.ApplyNews(u, reject.News{
			Upstream: u.ID, Incarnation: u.Incarnation, PerSecond: float64(perSecond[i]),
			Lifted: lifted[i], Age: time.Duration(ages[i]) * time.Millisecond, Confirmed: confirmed[i],
		})
	}
}

// decodeSentChains decodes which prefix chains were sent to which listed engines. Entries that lack a value are
// skipped.
func decodeSentChains(columns *wire.SentChains, listed map[ident.UpstreamTag]*view.Upstream) []place.SentChain {
	engines := columns.GetUpstream()
	out := make([]place.SentChain, 0, len(engines))
	for i, chain := range columns.GetChain() {
		if i >= len(engines) {
			break
		}
		if u := listed[ident.UpstreamTag(engines[i])]; u != nil {
			out = append(out, place.SentChain{Chain: place.ChainKey(chain), Engine: u.ID})
		}
	}
	return out
}

// applyBriefHeartbeat applies a heartbeat between two daemons of which at least one has no traffic.
func (d *Daemon) applyBriefHeartbeat(b *wire.Beat) {
	d.stores.MarkReachedByPeer(b.GetCacheStores())
	for _, a := range b.GetActive() {
		d.table.ApplyPeerReport(fleet.Peer{
			ID:              ident.DaemonID(a.GetDaemon()),
			Incarnation:     a.GetIncarnation(),
			CallerAddress:   a.GetCallerAddress(),
			PeerAddress:     a.GetPeerAddress(),
			Domain:          ident.FailureDomain(a.GetFailureDomain()),
			Capacity:        fleet.RequestsPerSecond(a.GetCapacity()),
			Demand:          fleet.RequestsPerSecond(a.GetDemand()),
			HeartbeatPeriod: time.Duration(b.GetPeriodMs()) * time.Millisecond,
		})
	}
	id, v := ident.DaemonID(b.GetDaemon()), d.fleet.Load()
	switch {
	case v != nil && v.inMesh():
		d.limiter.ApplyPeerUsage(id, b.GetIncarnation(), decodeUsage(b))
		d.limiter.MarkIdle(id)
	case b.GetServing():
		d.limiter.AdoptBalances(decodeUsage(b))
	}
}

func decodeUsage(b *wire.Beat) map[ident.OrganisationID]admit.Usage {
	out := make(map[ident.OrganisationID]admit.Usage, len(b.GetUse()))
	for _, u := range b.GetUse() {
		out[ident.OrganisationID(u.GetOrganisation())] = admit.Usage{
			Admitted: u.GetAdmitted(), Balance: u.GetBalance(), Converged: u.Balance != nil,
		}
	}
	return out
}

// memberRecord is a daemon's record in the store's members topic.
type memberRecord struct {
	Peers       string `json:"peers"`
	Incarnation uint64 `json:"incarnation"`
}

// joinFleet writes this daemon's peer address to the store. It reads those of the other daemons once, and again while
// no live peer is known.
func (d *Daemon) joinFleet(ctx context.Context) {
	value, err := json.Marshal(memberRecord{Peers: d.Settings.Listen.Peers, Incarnation: d.incarnation})
	if err != nil {
		klog.ErrorS(err, "Member record can't be encoded")
		return
	}
	written, read := false, false
	var era ident.Era
	for ctx.Err() == nil {
		if now := d.follower.Era(); written && now > era {
			// The restored store may lack the record. All daemons write it again.
			written = false
			scope.Sleep(ctx, rand.N(rejoinSpread))
		}
		if !written {
			at, err := d.store.Put(ctx, extern.TopicMembers, string(d.Settings.DaemonID), value, nil)
			written, era = err == nil, at.Era()
			if err != nil {
				klog.InfoS("Member record was not written to the store", "reason", err.Error())
			}
		}
		if !read || d.table.AliveCount() == 1 {
			read = d.readMembers(ctx)
		}
		pause := membersReadPeriod
		if !written || !read {
			pause = membersReadPeriod / 6
		}
		scope.Sleep(ctx, pause)
	}
}

func (d *Daemon) readMembers(ctx context.Context) bool {
	batch, err := d.store.Newest(ctx, extern.TopicMembers)
	if err != nil {
		klog.InfoS("List of members was not read from the store", "reason", err.Error())
		return false
	}
	for _, r := range batch.Records {
		var m memberRecord
		if err := json.Unmarshal(r.Value, &m); err != nil {
			klog.InfoS("Member record can't be decoded and is ignored", "key", r.Key, "reason", err.Error())
			continue
		}
		d.table.AddAddress(ident.DaemonID(r.Key), m.Incarnation, m.Peers)
	}
	d.peers.SendSoon()
	return true
}

// maintain removes silent peers and fetches records that peers have and this daemon lacks.
func (d *Daemon) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range d.table.Expire() {
			d.limiter.RemovePeer(id)
			klog.InfoS("Peer removed", "peer", id)
		}
		d.fetchMissingRecords(ctx)
		d.reportEvacuations()
		d.detector.Tick()
		scope.Sleep(ctx, maintenancePeriod)
	}
}

// fetchMissingRecords asks a peer that has read farther, or has newer versions, for its records, if this daemon has been behind
// for at least catchUpDelay.
func (d *Daemon) fetchMissingRecords(ctx context.Context) {
	operators, upstreams := d.follower.NextOffset(extern.TopicOperators), d.follower.NextOffset(extern.TopicUpstreams)
	if d.follower.Loaded() && operators.Era() == 0 {
		d.askedPeer = true
	}
	best, ok := d.bestInformedPeer(operators, upstreams)
	now := time.Now()
	if !ok {
		d.behindSince = time.Time{}
		return
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if now.Sub(d.behindSince) < catchUpDelay {
		return
	}
	since := operators
	if d.hasNewerVersions(&best) || d.startedOnCopy() {
		// The peer knows newer states than the store, which has returned from an older copy.
		since = 0
	}
	reply, err := d.peers.Fetch(ctx, best.PeerAddress, &wire.ChangesRequest{
		OperatorsNext: uint64(since), UpstreamsNext: uint64(upstreams),
	})
	if err != nil {
		klog.InfoS("Peer did not send the missing records", "peer", best.ID, "reason", err.Error())
		return
	}
	d.askedPeer = true
	d.follower.ApplyChanges(extern.TopicOperators, decodeChanges(best.ID, reply.GetOperators(), reply.GetOperatorsNext(), false))
	d.follower.ApplyChanges(extern.TopicUpstreams, decodeChanges(best.ID, reply.GetUpstreams(), reply.GetUpstreamsNext(), reply.GetUpstreamsWhole()))
}

// hasNewerVersions reports whether a peer knows newer versions than this daemon.
func (d *Daemon) hasNewerVersions(p *fleet.Peer) bool {
	return p.ConfigVersion > d.configVersion() || p.WeightVersions > d.weightVersions()
}

// bestInformedPeer returns the peer that is farthest ahead of this daemon, which has read up to the given offsets. It returns
// false if none is.
func (d *Daemon) bestInformedPeer(operators, upstreams ident.Offset) (fleet.Peer, bool) {
	var best fleet.Peer
	ahead, complete := ident.Offset(0), false
	now := time.Now()
	peers := d.table.All()
	// Many daemons miss the same records at the same time and must not all ask the same peer.
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if !p.Alive(now) {
			continue
		}
		d.follower.AdvanceTo(extern.TopicUpstreams, p.SkippableOffset(upstreams))
		lead := max(p.OperatorsOffset, operators) - operators + max(p.LastChangeOffset, upstreams) - upstreams
		if d.hasNewerVersions(&p) || d.startedOnCopy() && p.OperatorsOffset >= operators {
			lead++
		}
		// A peer that knows all changes since this daemon's offset sends few records, any other one the whole list.
		if hasAll := p.KnownSinceOffset <= upstreams; lead > 0 && (hasAll && !complete || hasAll == complete && lead > ahead) {
			ahead, best, complete = lead, p, hasAll
		}
	}
	return best, ahead > 0
}

func decodeChanges(from ident.DaemonID, stored []*wire.StoredRecord, next uint64, complete bool) feed.Changes {
	out := feed.Changes{From: from, Complete: complete}
	out.Next = ident.Offset(next)
	for _, r := range stored {
		out.Records = append(out.Records, extern.KeyedRecord{
			Offset: ident.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue(),
			SeenAt: time.Now().Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		})
	}
	return out
}

// changesFor answers a peer that lacks records.
func (d *Daemon) changesFor(req *wire.ChangesRequest) *wire.ChangesReply {
	operators := d.follower.ChangesSince(extern.TopicOperators, ident.Offset(req.GetOperatorsNext()))
	upstreams := d.follower.ChangesSince(extern.TopicUpstreams, ident.Offset(req.GetUpstreamsNext()))
	return &wire.ChangesReply{
		Operators:      encodeRecords(operators.Records),
		Upstreams:      encodeRecords(upstreams.Records),
		OperatorsNext:  uint64(operators.Next),
		UpstreamsNext:  uint64(upstreams.Next),
		UpstreamsWhole: upstreams.Complete,
	}
}

func encodeRecords(records []extern.KeyedRecord) []*wire.StoredRecord {
	out := make([]*wire.StoredRecord, 0, len(records))
	for _, r := range records {
		age := min(max(0, time.Since(r.SeenAt).Milliseconds()), maxAgeMs)
		out = append(out, &wire.StoredRecord{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value, AgeMs: uint32(age)})
	}
	return out
}
