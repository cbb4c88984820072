package prefix

import (
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// removal is a block that other daemons have been told of and that its engine has dropped.
type removal struct {
	engine      *engine
	incarnation uint64
	hash        ident.BlockHash
}

// Delta returns the blocks that requests have used since the last call, and the removals of blocks told earlier,
// in at most about limit encoded bytes. What does not fit is left for the next call.
func (x *Index) Delta(limit int) []*wire.EngineDigest {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	out := newPacker(limit)
	rest := x.removals[:0]
	for _, r := range x.removals {
		if r.engine.incarnation.Load() != r.incarnation {
			continue
		}
		if d := out.engine(r.engine); d != nil {
			d.RemovedBlocks = append(d.RemovedBlocks, uint64(r.hash))
		} else {
			rest = append(rest, r)
		}
	}
	x.removals = rest
	x.packUsed(out)
	return out.digests
}

// packUsed goes on through the table from where the last digest stopped.
func (x *Index) packUsed(out *packer) {
	all, now := x.engines.Load(), x.now()
	for range len(x.table.entries) / scanShare {
		at := &x.table.entries[x.cursor]
		hash, m, ok := at.load()
		if ok && m.has(used) && !m.has(expected) && x.valid(m, now) {
			d := out.engine(all.slots[m.slot()])
			if d == nil {
				return
			}
			d.AddedBlocks = append(d.AddedBlocks, hash)
			at.meta.CompareAndSwap(uint64(m), uint64(m.without(used)|told))
		}
		x.cursor = (x.cursor + 1) % len(x.table.entries)
	}
}

// packer collects blocks by engine up to a limit of encoded bytes.
type packer struct {
	left    int
	byID    map[ident.UpstreamID]*wire.EngineDigest
	digests []*wire.EngineDigest
}

func newPacker(limit int) *packer {
	return &packer{left: limit, byID: make(map[ident.UpstreamID]*wire.EngineDigest)}
}

// engine returns the part of an engine with room for one more block, or nil when the limit is reached.
func (p *packer) engine(e *engine) *wire.EngineDigest {
	d := p.byID[e.id]
	cost := hashBytes
	if d == nil {
		cost += engineBytes
	}
	if p.left < cost {
		return nil
	}
	p.left -= cost
	if d == nil {
		d = describe(e)
		p.byID[e.id] = d
		p.digests = append(p.digests, d)
	}
	return d
}

func describe(e *engine) *wire.EngineDigest {
	at := e.position()
	return &wire.EngineDigest{
		UpstreamId:    string(e.id),
		Incarnation:   uint64(at.Incarnation),
		EventSequence: uint64(at.Sequence),
	}
}

// Merge takes in what another daemon knows of an engine's blocks. It is believed for the time of an expected entry,
// and only where this daemon has not applied events as new itself.
func (x *Index) Merge(d *wire.EngineDigest) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(ident.UpstreamID(d.GetUpstreamId()))
	if e == nil || d.GetIncarnation() < e.incarnation.Load() {
		return
	}
	x.restart(e, ident.Incarnation(d.GetIncarnation()))
	if d.GetFull() {
		x.mergeFull(e, d)
		return
	}
	own := e.sequence.Load()
	if own > 0 && own >= d.GetEventSequence() && !e.suspect.Load() {
		return
	}
	for _, hash := range d.GetRemovedBlocks() {
		x.remove(e, ident.BlockHash(hash))
	}
	for _, hash := range d.GetAddedBlocks() {
		x.put(e, ident.BlockHash(hash), expected)
	}
}

// mergeFull makes the state at a later place in the engine's events this daemon's own, as a resync does.
func (x *Index) mergeFull(e *engine, d *wire.EngineDigest) {
	if d.GetEventSequence() <= e.sequence.Load() {
		return
	}
	x.void(e)
	e.suspect.Store(false)
	e.sequence.Store(d.GetEventSequence())
	for _, hash := range d.GetAddedBlocks() {
		x.put(e, ident.BlockHash(hash), 0)
	}
}

// Snapshot returns all that the index knows from events, for a daemon that starts. Suspect engines are left out.
func (x *Index) Snapshot() []*wire.EngineDigest {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	all, now := x.engines.Load(), x.now()
	digests := make([]*wire.EngineDigest, len(all.slots))
	for i, e := range all.slots {
		if e.position().Sequence > 0 {
			digests[i] = describe(e)
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
