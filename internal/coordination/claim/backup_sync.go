package claim

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// repeatMarks appends the marks of all open slices again, so that a replay that goes back replayRetentions retentions
// finds them.
func (c *Claimer) repeatMarks() {
	batch := c.newBatch()
	for number := range Slice(Slices) {
		s := &c.slices[number]
		s.mu.Lock()
		if _, ok := c.canDecide(s, number, time.Now()); ok {
			batch.Marks = append(batch.Marks, newMark(number, s.epoch, s.backup, true))
		}
		s.mu.Unlock()
	}
	if len(batch.GetMarks()) > 0 {
		noRetry := func() bool { return false }
		c.appendBatch(batch, nil, noRetry)
	}
}

// changeBackup records new backups of slices in the log. Until that record is in the log and the new backups have all
// copies, claims of the slices become durable only through the log.
func (c *Claimer) changeBackup(slices []ownedSlice) {
	for _, o := range slices {
		s := &c.slices[o.number]
		s.mu.Lock()
		s.backupSynced = false
		s.mu.Unlock()
	}
	stillOwned := func() bool { return c.stillOwns(slices) }
	if !c.syncBackup(slices) || !c.appendBatch(c.markBatch(slices, true), nil, stillOwned) {
		return
	}
	c.setBackup(slices, false)
	if c.syncBackup(slices) {
		c.setBackup(slices, true)
	}
}

func (c *Claimer) setBackup(slices []ownedSlice, synced bool) {
	for _, o := range slices {
		s := &c.slices[o.number]
		s.mu.Lock()
		if s.open && s.epoch == o.Epoch {
			s.backup, s.backupSynced = o.Backup, synced && o.Backup != ""
		}
		s.mu.Unlock()
	}
}

// syncUnsyncedBackups brings the backups of open slices in sync where they are not.
func (c *Claimer) syncUnsyncedBackups() {
	groups := make(map[ident.DaemonID][]ownedSlice)
	for number := range Slice(Slices) {
		s := &c.slices[number]
		s.mu.Lock()
		if s.open && !s.backupSynced && s.backup != "" && !s.blocked(time.Now()) {
			o := ownedSlice{number: number, Ownership: Ownership{Owner: c.Self, Backup: s.backup, Epoch: s.epoch}}
			groups[s.backup] = append(groups[s.backup], o)
		}
		s.mu.Unlock()
	}
	for _, slices := range groups {
		if c.syncBackup(slices) {
			c.setBackup(slices, true)
		}
	}
}

// syncBackup starts the term of each slice at its backup and sends copies of all its unlogged claims. It returns
// false when any backup refuses or does not answer.
func (c *Claimer) syncBackup(slices []ownedSlice) bool {
	requests := make(map[ident.DaemonID]*wire.BackupRequest)
	bySlice := make(map[Slice]ownedSlice, len(slices))
	for _, o := range slices {
		if o.Backup == "" {
			continue
		}
		if requests[o.Backup] == nil {
			requests[o.Backup] = c.backupRequest()
		}
		bySlice[o.number] = o
		req := requests[o.Backup]
		req.Marks = append(req.Marks, newMark(o.number, o.Epoch, o.Backup, true))
	}
	for _, cl := range c.writer.unloggedBefore(time.Now()) {
		o, ok := bySlice[cl.key.slice()]
		if ok && cl.record.GetOwnerEpoch() == uint64(o.Epoch) {
			requests[o.Backup].Claims = append(requests[o.Backup].Claims, cl.record)
		}
	}
	ok := true
	for backup, req := range requests {
		resp, err := c.sendBackup(backup, req)
		ok = ok && err == nil && !resp.GetNotCovered()
	}
	return ok
}
