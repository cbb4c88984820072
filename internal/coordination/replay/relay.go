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

// followRelay fetches records from other daemons that are ahead, until ctx ends. While neither the log nor a snapshot
// could be had, it asks for a snapshot again.
func (f *Follower) followRelay(ctx context.Context) {
	for {
		select {
		case <-f.hinted.c:
		case <-ctx.Done():
			return
		}
		if f.State().Offset() == 0 {
			f.bootstrap(ctx)
		}
		if err := f.catchUp(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Relay failed", "err", err)
			f.kick.raise()
		}
	}
}

// catchUp relays records until the hinted offset is applied.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		known := f.hint.Load()
		if known == nil || f.State().Offset() >= known.offset {
			return nil
		}
		if err := f.relayOnce(ctx, known.daemon); err != nil {
			f.hint.CompareAndSwap(known, nil)
			return err
		}
	}
}

func (f *Follower) relayOnce(ctx context.Context, daemon ident.DaemonID) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	from := f.State().Offset() + 1
	countRelays.Inc()
	resp, err := f.Peers.Relay(ctx, daemon, &wire.RelayRequest{FromOffset: uint64(from), MaxEntries: relayLimit})
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
	f.notify()
	return nil
}

// inOrder reports whether the offsets start at or after from and grow.
func inOrder(entries []*wire.LogEntry, from ident.Offset) bool {
	for _, entry := range entries {
		if ident.Offset(entry.GetOffset()) < from || entry.GetRecord() == nil {
			return false
		}
		from = ident.Offset(entry.GetOffset()) + 1
	}
	return true
}

// loadSnapshot goes on from the state in force at the daemon.
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
	f.notify()
	return nil
}

// bootstrap loads a snapshot from the first seed that answers. A seed that does not answer soon is
// asked together with the next one.
func (f *Follower) bootstrap(ctx context.Context) {
	if f.Seeds == nil || f.Peers == nil {
		return
	}
	seeds := f.Seeds()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	answers := make(chan error, len(seeds))
	open := 0
	for len(seeds) > 0 || open > 0 {
		var hedge <-chan time.Time
		if len(seeds) > 0 {
			seed := seeds[0]
			wg.Go(func() { answers <- f.loadSnapshot(ctx, seed) })
			seeds = seeds[1:]
			open++
			hedge = time.After(snapshotHedge)
		}
		select {
		case err := <-answers:
			open--
			if err == nil {
				return
			}
		case <-hedge:
		case <-ctx.Done():
			return
		}
	}
}

// HandleRelay answers another daemon's request for records.
func (f *Follower) HandleRelay(req *wire.RelayRequest) *wire.RelayResponse {
	f.init()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	after := f.store.windowAfter
	resp := &wire.RelayResponse{FirstOffset: uint64(after) + 1}
	if req.GetFromOffset() < resp.GetFirstOffset() {
		return resp
	}
	limit, size := min(int(req.GetMaxEntries()), relayLimit), 0
	for _, entry := range f.store.window {
		if entry.GetOffset() < req.GetFromOffset() {
			continue
		}
		size += proto.Size(entry)
		if len(resp.Entries) >= limit || size > relayBytes {
			return resp
		}
		resp.Entries = append(resp.Entries, entry)
	}
	return resp
}

// snapshotCache keeps the chunks of one state, since a herd of starts asks for the same.
type snapshotCache struct {
	mu     sync.Mutex
	state  *config.State
	chunks []*wire.CheckpointChunk
}

// HandleSnapshot returns the state in force in chunks; the records after it are to be had by HandleRelay.
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
