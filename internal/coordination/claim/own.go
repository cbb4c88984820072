package claim

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// own takes over the slices that this daemon gains and keeps their backups.
func (c *Claimer) own() {
	marked := time.Now()
	for {
		gained, moved := c.changes()
		if len(gained) > 0 {
			c.takeOver(gained)
		}
		if len(moved) > 0 {
			c.moveBackup(moved)
		}
		c.coverAll()
		if time.Since(marked) > c.window()/marksPerWindow {
			marked = time.Now()
			c.markAll()
		}
		if !c.sleep(ownInterval) {
			return
		}
	}
}

// owned is a slice with its ownership.
type owned struct {
	number Slice
	Ownership
}

// changes returns the slices that this daemon is to take over and those whose backup has changed.
func (c *Claimer) changes() (gained, moved []owned) {
	now := time.Now()
	limit := now.Add(-c.window())
	for number := range Slice(Slices) {
		o := owned{number: number, Ownership: c.Owner(number)}
		s := &c.slices[number]
		s.mu.Lock()
		s.forget(limit)
		switch {
		case o.Owner != c.Self:
		case s.epoch != o.Epoch || !s.open && !s.ended:
			gained = append(gained, o)
		case s.open && s.backup != o.Backup && !s.blocked(now):
			moved = append(moved, o)
		}
		s.mu.Unlock()
	}
	return gained, moved
}

// owns tells whether this daemon still owns all of the slices by the same ownerships.
func (c *Claimer) owns(slices []owned) bool {
	for _, o := range slices {
		now := c.Owner(o.number)
		if now.Owner != c.Self || now.Epoch != o.Epoch {
			return false
		}
	}
	return true
}

// takeOver opens slices: it fences the former owners, reads the log, collects the claims that are not logged, and logs
// those. It stops, to be tried again, when an ownership changes meanwhile.
func (c *Claimer) takeOver(slices []owned) {
	keep := func() bool { return c.owns(slices) }
	if !c.appendBatch(c.markBatch(slices, false), nil, keep) || !keep() {
		return
	}
	numbers := make([]Slice, 0, len(slices))
	for _, o := range slices {
		numbers = append(numbers, o.number)
	}
	state, err := c.replay(numbers)
	if err != nil {
		klog.ErrorS(err, "Claims can't be read", "slices", len(slices))
		return
	}
	complete, collected := c.collect(state)
	opening := c.markBatch(slices, true)
	for i, o := range slices {
		opening.Marks[i].Blocked = !complete[o.number]
		for _, record := range collected[o.number] {
			record.OwnerEpoch = uint64(o.Epoch)
			opening.Claims = append(opening.Claims, record)
		}
	}
	if !c.appendBatch(opening, nil, keep) || !keep() {
		return
	}
	applyBatch(state, opening)
	waiting := 0
	for _, o := range slices {
		c.open(o, state[o.number], complete[o.number])
		if !complete[o.number] {
			waiting++
		}
	}
	if waiting > 0 {
		klog.InfoS("Claims of former owners may be lost, slices wait", "slices", waiting, "wait", c.window())
	}
}

func (c *Claimer) markBatch(slices []owned, opened bool) *wire.ClaimBatch {
	batch := c.newBatch()
	for _, o := range slices {
		batch.Marks = append(batch.Marks, markOf(o.number, o.Epoch, o.Backup, opened))
	}
	return batch
}

func markOf(number Slice, epoch ident.Offset, backup ident.DaemonID, opened bool) *wire.SliceMark {
	return &wire.SliceMark{
		Slice:      uint32(number),
		OwnerEpoch: uint64(epoch),
		Backup:     string(backup),
		Opened:     opened,
	}
}

// open starts to decide the claims of a slice. When claims of the former owner may be lost, that waits until they
// would be forgotten.
func (c *Claimer) open(o owned, r *replayed, complete bool) {
	now := time.Now()
	s := &c.slices[o.number]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims, s.order = nil, nil
	for k, record := range r.claims {
		claimed := newClaim(k, record, now)
		claimed.logged = true
		claimed.markSafe()
		s.put(claimed)
	}
	s.open, s.ended, s.epoch = true, false, o.Epoch
	s.backup, s.covered = o.Backup, false
	s.blockedUntil = time.Time{}
	if !complete {
		s.blockedUntil = now.Add(c.window())
	}
}

// collect asks the former owners of the slices and their backups for claims that are not logged. A slice is complete
// when one of them has answered or all its claims are logged.
func (c *Claimer) collect(state map[Slice]*replayed) (map[Slice]bool, map[Slice][]*wire.ClaimRecord) {
	complete := make(map[Slice]bool, len(state))
	collected := make(map[Slice][]*wire.ClaimRecord, len(state))
	asks := make(map[collectKey]*wire.BackupRequest)
	for number, r := range state {
		if r.logged() {
			complete[number] = true
			continue
		}
		for _, from := range []ident.DaemonID{r.last.owner, r.backup} {
			addCollect(asks, from, number, r.last)
		}
	}
	for ask, req := range asks {
		resp, err := c.sendBackup(ask.from, req)
		if err != nil {
			continue
		}
		for _, number := range resp.GetCoveredSlices() {
			complete[Slice(number)] = true
		}
		for _, record := range resp.GetClaims() {
			number := keyOf(record.GetOrganisationId(), record.GetKeyDigest()).slice()
			collected[number] = append(collected[number], record)
		}
	}
	return complete, collected
}

// collectKey groups slices by whom to ask and by the owner whose claims are asked for.
type collectKey struct {
	from, owner ident.DaemonID
	incarnation ident.Incarnation
}

func addCollect(asks map[collectKey]*wire.BackupRequest, from ident.DaemonID, number Slice, of term) {
	if from == "" {
		return
	}
	ask := collectKey{from: from, owner: of.owner, incarnation: of.incarnation}
	req, ok := asks[ask]
	if !ok {
		req = &wire.BackupRequest{
			Owner:            string(of.owner),
			OwnerIncarnation: uint64(of.incarnation),
			Collect:          true,
		}
		asks[ask] = req
	}
	req.Marks = append(req.Marks, markOf(number, of.epoch, "", false))
}
