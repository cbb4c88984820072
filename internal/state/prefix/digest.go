package prefix

import (
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// removal is a block that was advertised to peers and that its engine has evicted since.
type removal struct {
	engine      *engine
	incarnation uint64
	hash        ident.BlockHash
}

// Delta returns the blocks that requests have used since earlier calls, and the removals of blocks advertised earlier,
// in at most about limit encoded bytes. The rest follows in later calls, as each scans only a part of the table.
func (x *Index) Delta(limit int) []*wire.EngineDigest {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	p := newPacker(limit)
	unsent := x.pendingRemovals[:0]
	for _, r := range x.pendingRemovals {
		if r.engine.incarnation.Load() != r.incarnation {
			continue
		}
		if d := p.digestFor(r.engine); d != nil {
			d.RemovedBlocks = append(d.RemovedBlocks, uint64(r.hash))
		} else {
			unsent = append(unsent, r)
		}
	}
	x.pendingRemovals = unsent
	x.packUsed(p)
	return p.digests
}

// packUsed adds used blocks, scanning the table from where the last digest stopped.
func (x *Index) packUsed(p *packer) {
	all, now := x.engines.Load(), x.now()
	for range len(x.table.entries) / deltaScanDivisor {
		ent := &x.table.entries[x.deltaCursor]
		hash, m, ok := ent.load()
		if ok && m.has(used) && !m.has(expected) && x.valid(m, now) {
			d := p.digestFor(all.slots[m.slot()])
			if d == nil {
				return
			}
			d.AddedBlocks = append(d.AddedBlocks, hash)
			ent.meta.CompareAndSwap(uint64(m), uint64(m.without(used)|advertised))
		}
		x.deltaCursor = (x.deltaCursor + 1) % len(x.table.entries)
	}
}

// packer collects the blocks of engines into digests, up to a limit of encoded bytes.
type packer struct {
	bytesLeft int
	byID      map[ident.UpstreamID]*wire.EngineDigest
	digests   []*wire.EngineDigest
}

func newPacker(limit int) *packer {
	return &packer{bytesLeft: limit, byID: make(map[ident.UpstreamID]*wire.EngineDigest)}
}

// digestFor returns the digest of an engine and reserves the bytes of one more block in it; nil if the limit is reached.
func (p *packer) digestFor(e *engine) *wire.EngineDigest {
	d := p.byID[e.id]
	size := digestHashBytes
	if d == nil {
		size += digestEngineBytes
	}
	if p.bytesLeft < size {
		return nil
	}
	p.bytesLeft -= size
	if d == nil {
		d = newDigest(e)
		p.byID[e.id] = d
		p.digests = append(p.digests, d)
	}
	return d
}

// newDigest returns a digest with the engine's position and no blocks.
func newDigest(e *engine) *wire.EngineDigest {
	position := e.position()
	return &wire.EngineDigest{
		UpstreamId:    string(e.id),
		Incarnation:   uint64(position.Incarnation),
		EventSequence: uint64(position.Sequence),
	}
}

// Merge applies a peer's digest of an engine's blocks. Blocks of a delta are added as expected entries, which expire
// unless events confirm them, and only if this daemon has not itself applied events as recent as the digest. A full
// digest replaces the engine's entries if it is newer than the events applied here.
func (x *Index) Merge(d *wire.EngineDigest) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engineFor(ident.UpstreamID(d.GetUpstreamId()))
	if e == nil || d.GetIncarnation() < e.incarnation.Load() {
		return
	}
	x.setIncarnation(e, ident.Incarnation(d.GetIncarnation()))
	if d.GetFull() {
		x.mergeFull(e, d)
		return
	}
	applied := e.sequence.Load()
	if applied > 0 && applied >= d.GetEventSequence() && !e.needsResync.Load() {
		return
	}
	for _, hash := range d.GetRemovedBlocks() {
		x.remove(e, ident.BlockHash(hash))
	}
	for _, hash := range d.GetAddedBlocks() {
		x.put(e, ident.BlockHash(hash), expected)
	}
}

// mergeFull replaces the engine's entries by a full digest of a later position in its events, as a resync does.
func (x *Index) mergeFull(e *engine, d *wire.EngineDigest) {
	if d.GetEventSequence() <= e.sequence.Load() {
		return
	}
	x.invalidate(e)
	e.needsResync.Store(false)
	e.sequence.Store(d.GetEventSequence())
	for _, hash := range d.GetAddedBlocks() {
		x.put(e, ident.BlockHash(hash), 0)
	}
}

// Snapshot returns full digests of all blocks that events have confirmed, to initialise the index of a daemon that
// starts. Engines that need a resync are left out.
func (x *Index) Snapshot() []*wire.EngineDigest {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	all, now := x.engines.Load(), x.now()
	digests := make([]*wire.EngineDigest, len(all.slots))
	for i, e := range all.slots {
		if e.position().Sequence > 0 {
			digests[i] = newDigest(e)
			digests[i].Full = true
		}
	}
	for i := range x.table.entries {
		hash, m, ok := x.table.entries[i].load()
		if !ok || m.has(expected) || !x.valid(m, now) || digests[m.slot()] == nil {
			continue
		}
		d := digests[m.slot()]
		d.AddedBlocks = append(d.AddedBlocks, hash)
	}
	known := digests[:0]
	for _, d := range digests {
		if d != nil {
			known = append(known, d)
		}
	}
	return known
}
