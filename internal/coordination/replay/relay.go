package replay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// followRelay fetches records from other daemons that are ahead, until ctx is done. As long as nothing has been applied
// from the log or a snapshot, it also asks the seeds for a snapshot again.
func (f *Follower) followRelay(ctx context.Context) {
	for {
		select {
		case <-f.relayRequested.c:
		case <-ctx.Done():
			return
		}
		if f.State().Offset() == 0 {
			f.bootstrap(ctx)
		}
		if err := f.catchUp(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Records could not be fetched from another daemon", "err", err)
			f.readRequested.raise()
		}
	}
}

// catchUp fetches records from the daemon with the newest known offset until that offset is applied.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		known := f.newestPeer.Load()
		if known == nil || f.State().Offset() >= known.offset {
			return nil
		}
		if err := f.relayOnce(ctx, known.daemon); err != nil {
			f.newestPeer.CompareAndSwap(known, nil)
			return err
		}
	}
}

// relayOnce fetches and applies one batch of records from the daemon. If the daemon no longer has the next record, it
// loads the daemon's snapshot instead. The error is a *RelayError if the answer does not advance the state.
func (f *Follower) relayOnce(ctx context.Context, daemon ident.DaemonID) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	from := f.State().Offset() + 1
	countRelays.Inc()
	resp, err := f.Peers.Relay(ctx, daemon, &wire.RelayRequest{FromOffset: uint64(from), MaxEntries: maxRelayRecords})
	if err != nil {
		return err
	}
	if ident.Offset(resp.GetFirstOffset()) > from {
		return f.loadSnapshot(ctx, daemon)
	}
	if !inOrder(resp.GetEntries(), from) {
		return &RelayError{Daemon: daemon, Reason: "the records are not in order"}
	}
	if !f.apply(resp.GetEntries()) && f.State().Offset() < from {
		return &RelayError{Daemon: daemon, Reason: "no newer records"}
	}
	f.notifyChange()
	return nil
}

// inOrder reports whether the first offset is at least from, offsets strictly increase, and every entry has a record.
func inOrder(entries []*wire.LogEntry, from ident.Offset) bool {
	for _, entry := range entries {
		if ident.Offset(entry.GetOffset()) < from || entry.GetRecord() == nil {
			return false
		}
		from = ident.Offset(entry.GetOffset()) + 1
	}
	return true
}

// loadSnapshot replaces the state by the one that is in force at the daemon. It returns a *RelayError if that is not
// newer.
func (f *Follower) loadSnapshot(ctx context.Context, daemon ident.DaemonID) error {
	chunks, err := f.Peers.Snapshot(ctx, daemon)
	if err != nil {
		return err
	}
	base, err := config.DecodeCheckpoint(chunks)
	if err != nil {
		return err
	}
	if !f.store.reset(base) {
		return &RelayError{Daemon: daemon, Reason: "its snapshot is not newer"}
	}
	countSnapshots.Inc()
	f.notifyChange()
	return nil
}

// bootstrap loads a snapshot from the first seed that returns one. It asks the next seed when one fails, and
// also when a seed has not answered within snapshotHedgeDelay.
func (f *Follower) bootstrap(ctx context.Context) {
	if f.Seeds == nil || f.Peers == nil {
		return
	}
	seeds := f.Seeds()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan error, len(seeds))
	pending := 0
	for len(seeds) > 0 || pending > 0 {
		var hedgeTimer <-chan time.Time
		if len(seeds) > 0 {
			seed := seeds[0]
			wg.Go(func() { results <- f.loadSnapshot(ctx, seed) })
			seeds = seeds[1:]
			pending++
			hedgeTimer = time.After(snapshotHedgeDelay)
		}
		select {
		case err := <-results:
			pending--
			if err == nil {
				return
			}
		case <-hedgeTimer:
		case <-ctx.Done():
			return
		}
	}
}

// HandleRelay answers a request of another daemon with the records from the requested offset on, as many as the limits
// allow. It returns no records if the requested offset is below FirstOffset, the oldest one that it still holds.
func (f *Follower) HandleRelay(req *wire.RelayRequest) *wire.RelayResponse {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	after := f.store.offsetBeforeWindow
	resp := &wire.RelayResponse{FirstOffset: uint64(after) + 1}
	if req.GetFromOffset() < resp.GetFirstOffset() {
		return resp
	}
	limit, size := min(int(req.GetMaxEntries()), maxRelayRecords), 0
	for _, entry := range f.store.window {
		if entry.GetOffset() < req.GetFromOffset() {
			continue
		}
		size += proto.Size(entry)
		if len(resp.Entries) >= limit || size > maxRelayBytes {
			return resp
		}
		resp.Entries = append(resp.Entries, entry)
	}
	return resp
}

// snapshotCache holds the encoded chunks of one state, since many daemons that start together request the same one.
type snapshotCache struct {
	mu     sync.Mutex
	state  *config.State
	chunks []*wire.CheckpointChunk
}

// HandleSnapshot returns the state in force, in chunks. HandleRelay returns the records after it.
func (f *Follower) HandleSnapshot() []*wire.CheckpointChunk {
	state := f.InForce()
	f.snapshot.mu.Lock()
	defer f.snapshot.mu.Unlock()
	if f.snapshot.state != state {
		f.snapshot.chunks = state.EncodeCheckpoint("snapshot")
		f.snapshot.state = state
	}
	return f.snapshot.chunks
}
