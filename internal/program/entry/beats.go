package entry

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/admit"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/cached"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// peersEvery is the number of beats between two that list the known peers.
	peersEvery = 10
	// storedBeats is how many beats tell of a part that the KV cache store has got.
	storedBeats = 1.6
	// sweepPeriod is how often old knowledge is dropped.
	sweepPeriod = 100 * time.Millisecond
	// membersPeriod is how often the list of members is read while few peers are known.
	membersPeriod = 3 * time.Second
	// lagFor is how long a peer may be ahead before it is asked for what it knows.
	lagFor = 80 * time.Millisecond
)

// beat returns what the daemon tells the others.
func (d *Daemon) beat() *wire.Beat {
	l := d.Settings.Listen
	b := &wire.Beat{
		Daemon:        string(d.Settings.DaemonID),
		Incarnation:   d.incarnation,
		CallerAddress: l.Callers,
		PeerAddress:   l.Peers,
		FailureDomain: string(d.Settings.FailureDomain),
		Ready:         d.ready(),
		Leaving:       d.leaving.Load(),
		StoreAgeMs:    uint32(min(d.follower.StoreAge().Milliseconds(), 1<<30)),
		OperatorsNext: uint64(d.follower.Next(extern.TopicOperators)),
		UpstreamsNext: uint64(d.follower.Next(extern.TopicUpstreams)),
	}
	b.CacheStore = d.parts.Reached()
	loads, fetching := d.placer.Loads()
	b.Fetching = uint32(max(0, fetching))
	for id, load := range loads {
		b.Loads = append(b.Loads, &wire.UpstreamLoad{
			Upstream: string(id), Requests: uint32(max(0, load.Requests)), Unread: uint32(max(0, load.Unread)),
		})
	}
	for _, sent := range d.placer.TakeSent() {
		b.Sent = append(b.Sent, &wire.SentChain{Chain: uint64(sent.Chain), Upstream: string(sent.Engine)})
	}
	if n := d.table.Count(); !small(n) && d.table.Rank() == 0 {
		// One daemon is enough to tell those who don't follow the KV cache store.
		for _, h := range d.parts.Fresh(fleet.Stretched(0, storedBeats, n)) {
			b.Stored = append(b.Stored, uint64(h))
		}
	}
	for id, use := range d.meter.Uses() {
		told := &wire.OrganisationUse{Organisation: string(id), Admitted: use.Admitted}
		if use.Settled {
			told.Balance = &use.Balance
		}
		b.Use = append(b.Use, told)
	}
	d.tellDuty(b)
	if d.beats.Add(1)%peersEvery == 1 {
		for _, p := range d.table.All() {
			b.Peers = append(b.Peers, &wire.KnownPeer{
				Daemon: string(p.ID), PeerAddress: p.PeerAddress, Incarnation: p.Incarnation,
			})
		}
	}
	return b
}

// targets returns where beats go: to all known peers, and to the seeds while none is known.
func (d *Daemon) targets() []string {
	var out []string
	for _, p := range d.table.All() {
		out = append(out, p.PeerAddress)
	}
	if len(out) > 0 {
		return out
	}
	_, port, err := net.SplitHostPort(d.Settings.Listen.Peers)
	if err != nil {
		return nil
	}
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

// heard takes a beat of a peer.
func (d *Daemon) heard(b *wire.Beat) {
	id := ident.DaemonID(b.GetDaemon())
	p := fleet.Peer{
		ID:            id,
		Incarnation:   b.GetIncarnation(),
		CallerAddress: b.GetCallerAddress(),
		PeerAddress:   b.GetPeerAddress(),
		Domain:        ident.FailureDomain(b.GetFailureDomain()),
		Ready:         b.GetReady(),
		Leaving:       b.GetLeaving(),
		Operators:     ident.Offset(b.GetOperatorsNext()),
		Upstreams:     ident.Offset(b.GetUpstreamsNext()),
		Term:          ident.Offset(b.GetTerm()),
	}
	if !d.table.Heard(p, b.GetSequence()) {
		return
	}
	if b.GetCacheStore() {
		d.parts.PeerReached()
	}
	held := make([]cached.Hash, 0, len(b.GetStored()))
	for _, h := range b.GetStored() {
		held = append(held, cached.Hash(h))
	}
	d.parts.PeerHolds(held)
	for _, k := range b.GetPeers() {
		d.table.Known(ident.DaemonID(k.GetDaemon()), k.GetIncarnation(), k.GetPeerAddress())
	}
	loads := make(map[ident.UpstreamID]place.Load, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads[ident.UpstreamID(l.GetUpstream())] = place.Load{
			Requests: int(l.GetRequests()), Unread: ident.Tokens(l.GetUnread()),
		}
	}
	d.placer.LearnPeer(id, loads, ident.Tokens(b.GetFetching()))
	sent := make([]place.Sent, 0, len(b.GetSent()))
	for _, s := range b.GetSent() {
		sent = append(sent, place.Sent{Chain: place.ChainKey(s.GetChain()), Engine: ident.UpstreamID(s.GetUpstream())})
	}
	d.placer.LearnSent(sent)
	uses := make(map[ident.OrganisationID]admit.Use, len(b.GetUse()))
	for _, u := range b.GetUse() {
		uses[ident.OrganisationID(u.GetOrganisation())] = admit.Use{
			Admitted: u.GetAdmitted(), Balance: u.GetBalance(), Settled: u.Balance != nil,
		}
	}
	d.meter.Learn(id, b.GetIncarnation(), uses)
	d.learnDuty(b)
}

// maxReaders is the number of daemons that read the store all the time: some in each failure domain, as its calls are
// limited and paid for.
const maxReaders = 10

// reads reports whether this daemon is among those that read the store all the time.
func (d *Daemon) reads() bool {
	return small(d.table.Count()) || d.table.Rank() < maxReaders
}

// small reports whether all n daemons may read the store and the KV cache store's events, which hold 12 reads at once.
func small(n int) bool { return n <= maxReaders+2 }

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
		if !read || d.table.Size() == 1 {
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
		d.table.Known(ident.DaemonID(r.Key), m.Incarnation, m.Peers)
	}
	d.peers.Urgent()
	return true
}

// sweep drops old knowledge and fetches what peers know beyond this daemon.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		for _, id := range d.table.Expire() {
			d.meter.Remove(id)
			klog.InfoS("Peer forgotten", "peer", id)
		}
		d.follower.Sweep()
		d.catchUp(ctx)
		scope.Sleep(ctx, sweepPeriod)
	}
}

// catchUp asks the peer that has read farthest, if this daemon has been behind for a while.
func (d *Daemon) catchUp(ctx context.Context) {
	operators, upstreams := d.follower.Next(extern.TopicOperators), d.follower.Next(extern.TopicUpstreams)
	var best fleet.Peer
	ahead := ident.Offset(0)
	now := time.Now()
	for _, p := range d.table.All() {
		if !p.Alive(now) {
			continue
		}
		by := max(p.Operators, operators) - operators + max(p.Upstreams, upstreams) - upstreams
		if by > ahead {
			ahead, best = by, p
		}
	}
	if ahead == 0 {
		d.behindSince = time.Time{}
		return
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if now.Sub(d.behindSince) < lagFor+feedGather {
		return
	}
	reply, err := d.peers.Fetch(ctx, best.PeerAddress, &wire.ChangesRequest{
		OperatorsNext: uint64(operators), UpstreamsNext: uint64(upstreams),
	})
	if err != nil {
		klog.InfoS("Peer gave no records", "peer", best.ID, "reason", err.Error())
		return
	}
	d.follower.Relayed(extern.TopicOperators, records(reply.GetOperators()), ident.Offset(reply.GetOperatorsNext()))
	d.follower.Relayed(extern.TopicUpstreams, records(reply.GetUpstreams()), ident.Offset(reply.GetUpstreamsNext()))
}

// feedGather is the time for which reads of registrations rest: a daemon that lags so long lacks nothing.
const feedGather = 300 * time.Millisecond

func records(stored []*wire.StoredRecord) []extern.KeyedRecord {
	out := make([]extern.KeyedRecord, 0, len(stored))
	for _, r := range stored {
		out = append(out, extern.KeyedRecord{Offset: ident.Offset(r.GetOffset()), Key: r.GetKey(), Value: r.GetValue()})
	}
	return out
}

// changes answers a peer that misses records.
func (d *Daemon) changes(req *wire.ChangesRequest) *wire.ChangesReply {
	operators, operatorsNext := d.follower.Newer(extern.TopicOperators, ident.Offset(req.GetOperatorsNext()))
	upstreams, upstreamsNext := d.follower.Newer(extern.TopicUpstreams, ident.Offset(req.GetUpstreamsNext()))
	return &wire.ChangesReply{
		Operators:     stored(operators),
		Upstreams:     stored(upstreams),
		OperatorsNext: uint64(operatorsNext),
		UpstreamsNext: uint64(upstreamsNext),
	}
}

func stored(records []extern.KeyedRecord) []*wire.StoredRecord {
	out := make([]*wire.StoredRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.StoredRecord{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value})
	}
	return out
}
