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
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// sweepPeriod is how often old knowledge is dropped.
	sweepPeriod = 100 * time.Millisecond
	// membersPeriod is how often the list of members is read while few peers are known.
	membersPeriod = 3 * time.Second
	// lagFor is how long a peer may be ahead before it is asked for what it knows.
	lagFor = 80 * time.Millisecond
)

// heard takes a beat of a peer.
func (d *Daemon) heard(b *wire.Beat) {
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
		StoreAge:         time.Duration(b.GetStoreAgeMs()) * time.Millisecond,
		Term:             ident.Offset(b.GetTerm()),
		Capacity:         fleet.RequestsPerSecond(b.GetCapacity()),
		Demand:           fleet.RequestsPerSecond(b.GetDemand()),
		Serving:          b.GetServing(),
		HeartbeatPeriod:  time.Duration(b.GetPeriodMs()) * time.Millisecond,
	}
	if !d.table.ApplyHeartbeat(p, b.GetSequence()) {
		return
	}
	d.learnDuty(b)
	if b.GetBrief() {
		d.heardBrief(b)
		return
	}
	d.stores.MarkReachedByPeer(b.GetCacheStores())
	held := make([]kvdir.PartHash, 0, len(b.GetStored()))
	for _, h := range b.GetStored() {
		held = append(held, kvdir.PartHash(h))
	}
	d.stores.AddFromPeer(held)
	for _, k := range b.GetPeers() {
		d.table.AddAddress(ident.DaemonID(k.GetDaemon()), k.GetIncarnation(), k.GetPeerAddress())
	}
	listed := d.board.Upstreams().ByTag
	d.placer.SetPeerWork(id, loadsOf(b.GetLoads(), listed), ident.Tokens(b.GetFetching()))
	d.placer.ApplySentChains(sentOf(b.GetSent(), listed))
	d.meter.ApplyPeerUsage(id, b.GetIncarnation(), uses(b))
}

// loadsOf reads the columns of loads as far as all have a value and the upstream is listed.
func loadsOf(told *wire.UpstreamLoads, listed map[ident.UpstreamTag]*view.Upstream) map[ident.UpstreamID]place.OutstandingWork {
	requests, unread, late := told.GetRequests(), told.GetUnread(), told.GetLate()
	out := make(map[ident.UpstreamID]place.OutstandingWork, len(told.GetUpstream()))
	for i, tag := range told.GetUpstream() {
		u := listed[ident.UpstreamTag(tag)]
		if u == nil || i >= len(requests) || i >= len(unread) || i >= len(late) {
			continue
		}
		out[u.ID] = place.OutstandingWork{
			Requests: int(requests[i]), PrefillTokens: ident.Tokens(unread[i]), LatePrefillTokens: ident.Tokens(late[i]),
		}
	}
	return out
}

// sentOf reads the columns of sent chains as far as both have a value and the engine is listed.
func sentOf(told *wire.SentChains, listed map[ident.UpstreamTag]*view.Upstream) []place.SentChain {
	engines := told.GetUpstream()
	out := make([]place.SentChain, 0, len(engines))
	for i, chain := range told.GetChain() {
		if i >= len(engines) {
			break
		}
		if u := listed[ident.UpstreamTag(engines[i])]; u != nil {
			out = append(out, place.SentChain{Chain: place.ChainKey(chain), Engine: u.ID})
		}
	}
	return out
}

// heardBrief takes the beat of a daemon that sees no need to exchange all: one of the two has no traffic.
func (d *Daemon) heardBrief(b *wire.Beat) {
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
	case v != nil && v.meshed():
		d.meter.ApplyPeerUsage(id, b.GetIncarnation(), uses(b))
		d.meter.MarkIdle(id)
	case b.GetServing():
		d.meter.AdoptBalances(uses(b))
	}
}

func uses(b *wire.Beat) map[ident.OrganisationID]admit.Usage {
	out := make(map[ident.OrganisationID]admit.Usage, len(b.GetUse()))
	for _, u := range b.GetUse() {
		out[ident.OrganisationID(u.GetOrganisation())] = admit.Usage{
			Admitted: u.GetAdmitted(), Balance: u.GetBalance(), Converged: u.Balance != nil,
		}
	}
	return out
}

// member is the record of a daemon in the list of members.
type member struct {
	Peers       string `json:"peers"`
	Incarnation uint64 `json:"incarnation"`
}

// join writes the daemon's address to the store and reads those of the others until it knows some.
func (d *Daemon) join(ctx context.Context) {
	value, err := json.Marshal(member{Peers: d.Settings.Listen.Peers, Incarnation: d.incarnation})
	if err != nil {
		klog.ErrorS(err, "Member record not made")
		return
	}
	written, read := false, false
	for ctx.Err() == nil {
		if !written {
			_, err := d.store.Put(ctx, extern.TopicMembers, string(d.Settings.DaemonID), value, nil)
			written = err == nil
			if err != nil {
				klog.InfoS("Member record not written", "reason", err.Error())
			}
		}
		if !read || d.table.AliveCount() == 1 {
			read = d.readMembers(ctx)
		}
		pause := membersPeriod
		if !written || !read {
			pause = membersPeriod / 6
		}
		scope.Sleep(ctx, pause)
	}
}

func (d *Daemon) readMembers(ctx context.Context) bool {
	batch, err := d.store.Newest(ctx, extern.TopicMembers)
	if err != nil {
		klog.InfoS("Members not read", "reason", err.Error())
		return false
	}
	for _, r := range batch.Records {
		var m member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			klog.InfoS("Member record ignored", "key", r.Key, "reason", err.Error())
			continue
		}
		d.table.AddAddress(ident.DaemonID(r.Key), m.Incarnation, m.Peers)
	}
	d.peers.SendSoon()
	return true
}

// sweep drops old knowledge and fetches what peers know beyond this daemon.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range d.table.Expire() {
			d.meter.RemovePeer(id)
			klog.InfoS("Peer forgotten", "peer", id)
		}
		d.catchUp(ctx)
		scope.Sleep(ctx, sweepPeriod)
	}
}

// catchUp asks the peer that has read farthest, if this daemon has been behind for a while.
func (d *Daemon) catchUp(ctx context.Context) {
	operators, upstreams := d.follower.NextOffset(extern.TopicOperators), d.follower.NextOffset(extern.TopicUpstreams)
	var best fleet.Peer
	ahead, complete := ident.Offset(0), false
	now := time.Now()
	peers := d.table.All()
	// Many daemons miss the same records at once and must not all ask the same peer.
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if !p.Alive(now) {
			continue
		}
		d.follower.AdvanceTo(extern.TopicUpstreams, p.SkippableOffset(upstreams))
		by := max(p.OperatorsOffset, operators) - operators + max(p.LastChangeOffset, upstreams) - upstreams
		// A peer that knows of all changes since passes on few records, another one the whole list.
		if knows := p.KnownSinceOffset <= upstreams; by > 0 && (knows && !complete || knows == complete && by > ahead) {
			ahead, best, complete = by, p, knows
		}
	}
	if ahead == 0 {
		d.behindSince = time.Time{}
		return
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if now.Sub(d.behindSince) < lagFor {
		return
	}
	reply, err := d.peers.Fetch(ctx, best.PeerAddress, &wire.ChangesRequest{
		OperatorsNext: uint64(operators), UpstreamsNext: uint64(upstreams),
	})
	if err != nil {
		klog.InfoS("Peer gave no records", "peer", best.ID, "reason", err.Error())
		return
	}
	d.follower.ApplyChanges(extern.TopicOperators, passedOn(reply.GetOperators(), reply.GetOperatorsNext(), false))
	d.follower.ApplyChanges(extern.TopicUpstreams, passedOn(reply.GetUpstreams(), reply.GetUpstreamsNext(), reply.GetUpstreamsWhole()))
}

func passedOn(stored []*wire.StoredRecord, next uint64, whole bool) feed.Changes {
	out := feed.Changes{Complete: whole}
	out.Next = ident.Offset(next)
	for _, r := range stored {
		out.Records = append(out.Records, extern.KeyedRecord{
			Offset: ident.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue(),
			SeenAt: time.Now().Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		})
	}
	return out
}

// changes answers a peer that misses records.
func (d *Daemon) changes(req *wire.ChangesRequest) *wire.ChangesReply {
	operators := d.follower.ChangesSince(extern.TopicOperators, ident.Offset(req.GetOperatorsNext()))
	upstreams := d.follower.ChangesSince(extern.TopicUpstreams, ident.Offset(req.GetUpstreamsNext()))
	return &wire.ChangesReply{
		Operators:      stored(operators.Records),
		Upstreams:      stored(upstreams.Records),
		OperatorsNext:  uint64(operators.Next),
		UpstreamsNext:  uint64(upstreams.Next),
		UpstreamsWhole: upstreams.Complete,
	}
}

func stored(records []extern.KeyedRecord) []*wire.StoredRecord {
	out := make([]*wire.StoredRecord, 0, len(records))
	for _, r := range records {
		age := min(max(0, time.Since(r.SeenAt).Milliseconds()), maxAgeMs)
		out = append(out, &wire.StoredRecord{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value, AgeMs: uint32(age)})
	}
	return out
}
