package claim

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ownershipLoop takes over the slices that this daemon gains, keeps their backups in sync and repeats their marks.
func (c *Claimer) ownershipLoop() {
	markedAt := time.Now()
	for {
		gained, backupChanged := c.ownershipChanges()
		if len(gained) > 0 {
			c.takeOver(gained)
		}
		if len(backupChanged) > 0 {
			c.changeBackup(backupChanged)
		}
		c.syncUnsyncedBackups()
		if time.Since(markedAt) > c.retention()/marksPerRetention {
			markedAt = time.Now()
			c.repeatMarks()
		}
		if !c.sleep(ownershipInterval) {
			return
		}
	}
}

// ownedSlice is a slice with its ownership.
type ownedSlice struct {
	number Slice
	Ownership
}

// ownershipChanges returns the slices that this daemon must take over and those whose backup has changed.
func (c *Claimer) ownershipChanges() (gained, backupChanged []ownedSlice) {
	now := time.Now()
	cutoff := now.Add(-c.retention())
	for number := range Slice(Slices) {
		o := ownedSlice{number: number, Ownership: c.Owner(number)}
		s := &c.slices[number]
		s.mu.Lock()
		s.expire(cutoff)
		switch {
		case o.Owner != c.Self:
		case s.epoch != o.Epoch || !s.open && !s.handedOver:
			gained = append(gained, o)
		case s.open && s.backup != o.Backup && !s.blocked(now):
			backupChanged = append(backupChanged, o)
		}
		s.mu.Unlock()
	}
	return gained, backupChanged
}

// stillOwns reports whether this daemon still owns all of the slices in the same epochs.
func (c *Claimer) stillOwns(slices []ownedSlice) bool {
	for _, o := range slices {
		current := c.Owner(o.number)
		if current.Owner != c.Self || current.Epoch != o.Epoch {
			return false
		}
	}
	return true
}

// takeOver opens slices. It fences the former owners with a mark in the log, replays the log, collects the claims
// that are not logged and logs them. It gives up when an ownership changes meanwhile; ownershipLoop tries again.
func (c *Claimer) takeOver(slices []ownedSlice) {
	stillOwned := func() bool { return c.stillOwns(slices) }
	if !c.appendBatch(c.markBatch(slices, false), nil, stillOwned) || !stillOwned() {
		return
	}
	numbers := make([]Slice, 0, len(slices))
	for _, o := range slices {
		numbers = append(numbers, o.number)
	}
	replayed, err := c.replaySlices(numbers)
	if err != nil {
		klog.ErrorS(err, "Claims of slices to take over can't be read from the log", "slices", len(slices))
		return
	}
	complete, collected := c.collectUnlogged(replayed)
	opening := c.markBatch(slices, true)
	for i, o := range slices {
		opening.Marks[i].Blocked = !complete[o.number]
		for _, record := range collected[o.number] {
			record.OwnerEpoch = uint64(o.Epoch)
			opening.Claims = append(opening.Claims, record)
		}
	}
	if !c.appendBatch(opening, nil, stillOwned) || !stillOwned() {
		return
	}
	applyBatch(replayed, opening)
	blockedSlices := 0
	for _, o := range slices {
		c.openSlice(o, replayed[o.number], complete[o.number])
		if !complete[o.number] {
			blockedSlices++
		}
	}
	if blockedSlices > 0 {
		klog.InfoS("Claims of former owners may be lost, slices wait", "slices", blockedSlices, "wait", c.retention())
	}
}

func (c *Claimer) markBatch(slices []ownedSlice, opened bool) *wire.ClaimBatch {
	batch := c.newBatch()
	for _, o := range slices {
		batch.Marks = append(batch.Marks, newMark(o.number, o.Epoch, o.Backup, opened))
	}
	return batch
}

func newMark(number Slice, epoch ident.Offset, backup ident.DaemonID, opened bool) *wire.SliceMark {
	return &wire.SliceMark{
		Slice:      uint32(number),
		OwnerEpoch: uint64(epoch),
		Backup:     string(backup),
		Opened:     opened,
	}
}

// openSlice starts to decide the claims of a slice. When claims of former owners may be lost, it blocks decisions for
// one retention, after which those claims would have expired.
func (c *Claimer) openSlice(o ownedSlice, r *replayedSlice, complete bool) {
	now := time.Now()
	s := &c.slices[o.number]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims, s.oldestFirst = nil, nil
	for k, record := range r.claims {
		cl := newClaim(k, record, now)
		cl.logged = true
		cl.markDurable()
		s.add(cl)
	}
	s.open, s.handedOver, s.epoch = true, false, o.Epoch
	s.backup, s.backupSynced = o.Backup, false
	s.blockedUntil = time.Time{}
	if !complete {
		s.blockedUntil = now.Add(c.retention())
	}
}

// collectUnlogged asks the former owners of the slices and their backups for claims that are not logged. A slice is
// complete when one of them has answered or all its claims are in the log.
func (c *Claimer) collectUnlogged(replayed map[Slice]*replayedSlice) (map[Slice]bool, map[Slice][]*wire.ClaimRecord) {
	complete := make(map[Slice]bool, len(replayed))
	collected := make(map[Slice][]*wire.ClaimRecord, len(replayed))
	requests := make(map[collectTarget]*wire.BackupRequest)
	for number, r := range replayed {
		if r.allLogged() {
			complete[number] = true
			continue
		}
		for _, from := range []ident.DaemonID{r.lastTerm.owner, r.lastBackup} {
			addCollectRequest(requests, from, number, r.lastTerm)
		}
	}
	for target, req := range requests {
		resp, err := c.sendBackup(target.from, req)
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

// collectTarget is the daemon to ask and the owner whose claims are asked for; a request covers all slices with the
// same target.
type collectTarget struct {
	from, owner ident.DaemonID
	incarnation ident.Incarnation
}

func addCollectRequest(requests map[collectTarget]*wire.BackupRequest, from ident.DaemonID, number Slice, term ownerTerm) {
	if from == "" {
		return
	}
	target := collectTarget{from: from, owner: term.owner, incarnation: term.incarnation}
	req, ok := requests[target]
	if !ok {
		req = &wire.BackupRequest{
			Owner:            string(term.owner),
			OwnerIncarnation: uint64(term.incarnation),
			Collect:          true,
		}
		requests[target] = req
	}
	req.Marks = append(req.Marks, newMark(number, term.epoch, "", false))
}
