package claim

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// covers holds the copies that this daemon keeps as the backup of slices.
type covers struct {
	mu      sync.Mutex
	bySlice map[Slice]*cover
}

// cover holds the copies of one owner's unlogged claims in a slice.
type cover struct {
	term   term
	ended  bool
	copies map[key]copied
}

// term is an owner's time as the owner of a slice.
type term struct {
	owner       ident.DaemonID
	incarnation ident.Incarnation
	epoch       ident.Offset
}

type copied struct {
	record *wire.ClaimRecord
	at     time.Time
}

// HandleBackup keeps copies of claims for their owner, or hands claims to a later owner.
func (c *Claimer) HandleBackup(_ context.Context, req *wire.BackupRequest) *wire.BackupResponse {
	c.init()
	if req.GetCollect() {
		return c.handOver(req)
	}
	owner := term{owner: ident.DaemonID(req.GetOwner()), incarnation: ident.Incarnation(req.GetOwnerIncarnation())}
	return &wire.BackupResponse{NotCovered: !c.covers.store(owner, req)}
}

// store keeps all claims of the request; false when it keeps none.
func (cs *covers) store(owner term, req *wire.BackupRequest) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.bySlice == nil {
		cs.bySlice = make(map[Slice]*cover)
	}
	for _, mark := range req.GetMarks() {
		owner.epoch = ident.Offset(mark.GetOwnerEpoch())
		if !cs.begin(Slice(mark.GetSlice()), owner) {
			return false
		}
	}
	for _, record := range req.GetClaims() {
		owner.epoch = ident.Offset(record.GetOwnerEpoch())
		held := cs.bySlice[keyOf(record.GetOrganisationId(), record.GetKeyDigest()).slice()]
		if held == nil || held.term != owner || held.ended {
			return false
		}
	}
	now := time.Now()
	for _, record := range req.GetClaims() {
		k := keyOf(record.GetOrganisationId(), record.GetKeyDigest())
		cs.bySlice[k.slice()].copies[k] = copied{record: record, at: now}
	}
	return true
}

// begin covers a slice for an owner; false when a later owner has ended that term.
func (cs *covers) begin(number Slice, owner term) bool {
	held := cs.bySlice[number]
	if held != nil && (held.term.epoch > owner.epoch || held.term == owner && held.ended) {
		return false
	}
	if held == nil || held.term != owner {
		cs.bySlice[number] = &cover{term: owner, copies: make(map[key]copied)}
	}
	return true
}

// forget drops copies that were made before the time.
func (cs *covers) forget(limit time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, held := range cs.bySlice {
		for k, c := range held.copies {
			if c.at.Before(limit) {
				delete(held.copies, k)
			}
		}
	}
}

// end ends the term and returns its copies; false when this daemon does not cover it.
func (cs *covers) end(number Slice, of term) ([]*wire.ClaimRecord, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	held := cs.bySlice[number]
	if held == nil || held.term != of {
		return nil, false
	}
	held.ended = true
	records := make([]*wire.ClaimRecord, 0, len(held.copies))
	for _, c := range held.copies {
		records = append(records, c.record)
	}
	return records, true
}

// handOver ends terms of this daemon as an owner or as a backup and returns the claims that may not be logged.
func (c *Claimer) handOver(req *wire.BackupRequest) *wire.BackupResponse {
	resp := &wire.BackupResponse{}
	of := term{owner: ident.DaemonID(req.GetOwner()), incarnation: ident.Incarnation(req.GetOwnerIncarnation())}
	for _, mark := range req.GetMarks() {
		of.epoch = ident.Offset(mark.GetOwnerEpoch())
		records, ok := c.endTerm(Slice(mark.GetSlice()), of)
		if ok {
			resp.CoveredSlices = append(resp.CoveredSlices, mark.GetSlice())
			resp.Claims = append(resp.Claims, records...)
		}
	}
	return resp
}

func (c *Claimer) endTerm(number Slice, of term) ([]*wire.ClaimRecord, bool) {
	if number >= Slices {
		return nil, false
	}
	if of.owner == c.Self && of.incarnation == c.Incarnation {
		return c.slices[number].end(of.epoch)
	}
	return c.covers.end(number, of)
}

// copyDue sends claims that are not logged in time to the backups of their slices.
func (c *Claimer) copyDue() {
	for {
		select {
		case <-c.writer.added:
		case <-c.life.Context().Done():
			return
		}
		for more := true; more; {
			pause := copyInterval
			if c.writer.down.Load() {
				pause = defaultLinger
			}
			if !c.sleep(pause) {
				return
			}
			more = c.copyOnce()
		}
	}
}

// copyOnce copies the claims that are due; false when none is left to be copied.
func (c *Claimer) copyOnce() bool {
	since := time.Now()
	if !c.writer.down.Load() {
		since = since.Add(-outageAfter)
	}
	due := c.writer.takeDue(since)
	for backup, claims := range c.uncopied(due) {
		c.copyTo(backup, claims)
	}
	var left []*claim
	for _, tried := range due {
		s := &c.slices[tried.key.slice()]
		s.mu.Lock()
		if !tried.safe && !tried.freed {
			left = append(left, tried)
		}
		s.mu.Unlock()
	}
	if len(left) > 0 {
		c.sleep(copyInterval)
	}
	return c.writer.putBack(left)
}

// uncopied groups the claims that are neither logged nor copied by the backup that covers them.
func (c *Claimer) uncopied(claims []*claim) map[ident.DaemonID][]*claim {
	groups := make(map[ident.DaemonID][]*claim)
	for _, due := range claims {
		s := &c.slices[due.key.slice()]
		s.mu.Lock()
		current := s.open && s.covered && due.record.GetOwnerEpoch() == uint64(s.epoch)
		if current && !due.copied && !due.logged && !due.freed {
			groups[s.backup] = append(groups[s.backup], due)
		}
		s.mu.Unlock()
	}
	return groups
}

func (c *Claimer) copyTo(backup ident.DaemonID, claims []*claim) {
	req := c.backupRequest()
	for _, due := range claims {
		req.Claims = append(req.Claims, due.record)
	}
	resp, err := c.sendBackup(backup, req)
	if err != nil {
		return
	}
	for _, due := range claims {
		s := &c.slices[due.key.slice()]
		s.mu.Lock()
		if resp.GetNotCovered() {
			s.covered = s.covered && s.backup != backup
		} else {
			due.copied = true
			due.markSafe()
		}
		s.mu.Unlock()
	}
}

func (c *Claimer) backupRequest() *wire.BackupRequest {
	return &wire.BackupRequest{Owner: string(c.Self), OwnerIncarnation: uint64(c.Incarnation)}
}

func (c *Claimer) sendBackup(to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error) {
	if to == c.Self {
		return c.HandleBackup(c.life.Context(), req), nil
	}
	ctx, cancel := context.WithTimeout(c.life.Context(), copyTimeout)
	defer cancel()
	return c.Peers.Backup(ctx, to, req)
}
