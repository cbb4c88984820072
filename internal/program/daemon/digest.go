package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// digest returns the digest that this daemon sends with its next heartbeats: changes of the prefix index within the byte
// budget, and the observations of moves.
func (c *components) digest() *wire.Digest {
	d := c.newDigest()
	c.router.Delta(d, c.digestBudget.nextLimit(len(c.livePeers())))
	d.Moves = c.monitor.Digest()
	return d
}

// digestBudget keeps the blocks in digests within digestBytesPerSecond, for any number of peers. It is not safe for
// concurrent use.
type digestBudget struct {
	unspentBytes int
}

// nextLimit returns the maximum bytes of blocks in each heartbeat of this second to the given number of peers. It is 0
// until the unspent budget allows at least minDigestBytes for each. It must be called once a second.
func (b *digestBudget) nextLimit(peers int) int {
	peers = max(1, peers)
	b.unspentBytes = min(b.unspentBytes+digestBytesPerSecond, max(digestBytesPerSecond, peers*maxDigestBytes))
	limit := min(maxDigestBytes, b.unspentBytes/peers)
	if limit < minDigestBytes {
		return 0
	}
	b.unspentBytes -= limit * peers
	return limit
}

func (c *components) newDigest() *wire.Digest {
	d := &wire.Digest{DaemonId: string(c.settings.DaemonID)}
	if view := c.membership.View(); view != nil {
		d.Incarnation = uint64(view.Incarnation)
	}
	return d
}

// applyDigest merges the digest of a peer into the prefix index and the observations of moves.
func (c *components) applyDigest(d *wire.Digest) {
	c.router.Merge(d)
	c.monitor.Merge(ident.DaemonID(d.GetDaemonId()), ident.Incarnation(d.GetIncarnation()), d.GetMoves())
}

// sendUrgentDigests sends the observations of moves to the peers without waiting for the next heartbeat when a version has
// failed a request or was stopped. It runs until ctx ends.
func (c *components) sendUrgentDigests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.monitor.UrgentDigest():
		}
		d := c.newDigest()
		d.Moves = c.monitor.Digest()
		c.sendToPeers(ctx, c.livePeers(), &wire.TellRequest{Digest: d})
		scope.Sleep(ctx, minUrgentInterval)
	}
}

// livePeers returns the live daemons except this one.
func (c *components) livePeers() []ident.DaemonID {
	return slices.DeleteFunc(c.liveDaemons(), func(id ident.DaemonID) bool { return id == c.settings.DaemonID })
}

// sendToPeers sends a message to the daemons in parallel and returns when each call has succeeded or failed, after
// sendTimeout at the latest.
func (c *components) sendToPeers(ctx context.Context, to []ident.DaemonID, req *wire.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range to {
		wg.Go(func() { c.sendToPeer(ctx, id, req) })
	}
	wg.Wait()
}

// sendNotices informs peers of the requests that this daemon has just sent to engines. At most maxNoticePeers peers, chosen at
// random, get the notices.
func (c *components) sendNotices(ctx context.Context, notices []*wire.SentNotice) {
	c.sendToPeers(ctx, sample(c.livePeers(), maxNoticePeers), &wire.TellRequest{Notices: notices})
}

// sample returns at most n of the daemons, chosen at random.
func sample(ids []ident.DaemonID, n int) []ident.DaemonID {
	if len(ids) > n {
		rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return ids[:min(n, len(ids))]
}

// updateDaemonRank sets the rank of this daemon among the live daemons, sorted by id, in the router.
func (c *components) updateDaemonRank(view *member.View) {
	ids := liveIDs(view)
	slices.Sort(ids)
	if rank := slices.Index(ids, c.settings.DaemonID); rank >= 0 {
		c.router.SetDaemonRank(rank, len(ids))
	}
}

func (c *components) sendToPeer(ctx context.Context, to ident.DaemonID, req *wire.TellRequest) {
	if _, err := c.peerClient.Tell(ctx, to, req); err != nil {
		klog.V(1).InfoS("Digest or notices not delivered to peer", "daemon", to, "err", err)
	}
}

const (
	// minUrgentInterval is the minimum pause between two urgent digests.
	minUrgentInterval = 50 * time.Millisecond
	// sendTimeout bounds the Tell calls of one message to the peers.
	sendTimeout = time.Second
)
