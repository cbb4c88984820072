package claim

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// backupStore holds the claim copies that this daemon keeps as the backup of slices.
type backupStore struct {
	mu      sync.Mutex
	bySlice map[Slice]*sliceCopies
}

// sliceCopies holds copies of the claims of one slice that its owner had not logged when it sent them.
type sliceCopies struct {
	term   ownerTerm
	ended  bool
	copies map[key]claimCopy
}

// ownerTerm identifies the period in which one incarnation of a daemon owns a slice.
type ownerTerm struct {
	owner       ident.DaemonID
	incarnation ident.Incarnation
	epoch       ident.Offset
}

type claimCopy struct {
	record   *wire.ClaimRecord
	copiedAt time.Time
}

// HandleBackup stores copies of claims for their owner or, for a collect request, returns unlogged claims to the new
// owner of the slices.
func (c *Claimer) HandleBackup(_ context.Context, req *wire.BackupRequest) *wire.BackupResponse {
	c.init()
	if req.GetCollect() {
		return c.handleCollect(req)
	}
	term := ownerTerm{owner: ident.DaemonID(req.GetOwner()), incarnation: ident.Incarnation(req.GetOwnerIncarnation())}
	return &wire.BackupResponse{NotCovered: !c.backupStore.store(term, req)}
}

// store stores all claims of the request. It returns false, and stores no claim, when the term of a mark or claim is
// not current here or has been ended by a later owner.
func (bs *backupStore) store(term ownerTerm, req *wire.BackupRequest) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if bs.bySlice == nil {
		bs.bySlice = make(map[Slice]*sliceCopies)
	}
	for _, mark := range req.GetMarks() {
		term.epoch = ident.Offset(mark.GetOwnerEpoch())
		if !bs.beginTerm(Slice(mark.GetSlice()), term) {
			return false
		}
	}
	for _, record := range req.GetClaims() {
		term.epoch = ident.Offset(record.GetOwnerEpoch())
		copies := bs.bySlice[keyOf(record.GetOrganisationId(), record.GetKeyDigest()).slice()]
		if copies == nil || copies.term != term || copies.ended {
			return false
		}
	}
	now := time.Now()
	for _, record := range req.GetClaims() {
		k := keyOf(record.GetOrganisationId(), record.GetKeyDigest())
		bs.bySlice[k.slice()].copies[k] = claimCopy{record: record, copiedAt: now}
	}
	return true
}

// beginTerm starts to keep copies of a slice for the term. It returns false when a later term is known or a later
// owner has ended this one.
func (bs *backupStore) beginTerm(number Slice, term ownerTerm) bool {
	current := bs.bySlice[number]
	if current != nil && (current.term.epoch > term.epoch || current.term == term && current.ended) {
		return false
	}
	if current == nil || current.term != term {
		bs.bySlice[number] = &sliceCopies{term: term, copies: make(map[key]claimCopy)}
	}
	return true
}

// expire removes copies that were made before the cutoff.
func (bs *backupStore) expire(cutoff time.Time) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for _, current := range bs.bySlice {
		for k, c := range current.copies {
			if c.copiedAt.Before(cutoff) {
				delete(current.copies, k)
			}
		}
	}
}

// endTerm ends the term, so that it takes no more copies, and returns the copies. It returns false when this daemon
// keeps none for the term.
func (bs *backupStore) endTerm(number Slice, term ownerTerm) ([]*wire.ClaimRecord, bool) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	current := bs.bySlice[number]
	if current == nil || current.term != term {
		return nil, false
	}
	current.ended = true
	records := make([]*wire.ClaimRecord, 0, len(current.copies))
	for _, c := range current.copies {
		records = append(records, c.record)
	}
	return records, true
}

// handleCollect ends terms in which this daemon was the owner or the backup and returns the claims of these terms
// that may not be in the log.
func (c *Claimer) handleCollect(req *wire.BackupRequest) *wire.BackupResponse {
	resp := &wire.BackupResponse{}
	term := ownerTerm{owner: ident.DaemonID(req.GetOwner()), incarnation: ident.Incarnation(req.GetOwnerIncarnation())}
	for _, mark := range req.GetMarks() {
		term.epoch = ident.Offset(mark.GetOwnerEpoch())
		records, ok := c.endTerm(Slice(mark.GetSlice()), term)
		if ok {
			resp.CoveredSlices = append(resp.CoveredSlices, mark.GetSlice())
			resp.Claims = append(resp.Claims, records...)
		}
	}
	return resp
}

func (c *Claimer) endTerm(number Slice, term ownerTerm) ([]*wire.ClaimRecord, bool) {
	if number >= Slices {
		return nil, false
	}
	if term.owner == c.Self && term.incarnation == c.Incarnation {
		return c.slices[number].endEpoch(term.epoch)
	}
	return c.backupStore.endTerm(number, term)
}

// copyLoop copies claims to the backups of their slices when they are not logged within logOutageAfter, and at once
// while the log service is known to be down.
func (c *Claimer) copyLoop() {
	for {
		select {
		case <-c.writer.copyWake:
		case <-c.scope.Context().Done():
			return
		}
		for more := true; more; {
			pause := copyInterval
			if c.writer.logDown.Load() {
				pause = defaultLinger
			}
			if !c.sleep(pause) {
				return
			}
			more = c.copyOverdue()
		}
	}
}

// copyOverdue copies the claims that have waited too long for their append. It returns false when no claim is left to
// be copied.
func (c *Claimer) copyOverdue() bool {
	addedBefore := time.Now()
	if !c.writer.logDown.Load() {
		addedBefore = addedBefore.Add(-logOutageAfter)
	}
	due := c.writer.takeCopyQueue(addedBefore)
	for backup, claims := range c.groupUncopiedByBackup(due) {
		c.copyToBackup(backup, claims)
	}
	var remaining []*claim
	for _, cl := range due {
		s := &c.slices[cl.key.slice()]
		s.mu.Lock()
		if !cl.isDurable && !cl.freed {
			remaining = append(remaining, cl)
		}
		s.mu.Unlock()
	}
	if len(remaining) > 0 {
		c.sleep(copyInterval)
	}
	return c.writer.requeueCopies(remaining)
}

// groupUncopiedByBackup returns, by backup, the claims that are neither logged, freed nor copied, of slices whose
// backup is in sync and whose owner epoch has not changed.
func (c *Claimer) groupUncopiedByBackup(claims []*claim) map[ident.DaemonID][]*claim {
	groups := make(map[ident.DaemonID][]*claim)
	for _, cl := range claims {
		s := &c.slices[cl.key.slice()]
		s.mu.Lock()
		current := s.open && s.backupSynced && cl.record.GetOwnerEpoch() == uint64(s.epoch)
		if current && !cl.copied && !cl.logged && !cl.freed {
			groups[s.backup] = append(groups[s.backup], cl)
		}
		s.mu.Unlock()
	}
	return groups
}

func (c *Claimer) copyToBackup(backup ident.DaemonID, claims []*claim) {
	req := c.backupRequest()
	for _, cl := range claims {
		req.Claims = append(req.Claims, cl.record)
	}
	resp, err := c.sendBackup(backup, req)
	if err != nil {
		return
	}
	for _, cl := range claims {
		s := &c.slices[cl.key.slice()]
		s.mu.Lock()
		if resp.GetNotCovered() {
			s.backupSynced = s.backupSynced && s.backup != backup
		} else {
			cl.copied = true
			cl.markDurable()
		}
		s.mu.Unlock()
	}
}

func (c *Claimer) backupRequest() *wire.BackupRequest {
	return &wire.BackupRequest{Owner: string(c.Self), OwnerIncarnation: uint64(c.Incarnation)}
}

func (c *Claimer) sendBackup(to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error) {
	if to == c.Self {
		return c.HandleBackup(c.scope.Context(), req), nil
	}
	ctx, cancel := context.WithTimeout(c.scope.Context(), backupTimeout)
	defer cancel()
	return c.Peers.Backup(ctx, to, req)
}
