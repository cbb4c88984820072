package claim

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// markAll repeats the marks of all open slices, so that replays of the last windows find them.
func (c *Claimer) markAll() {
	batch := c.newBatch()
	for number := range Slice(Slices) {
		s := &c.slices[number]
		s.mu.Lock()
		if _, ok := c.decides(s, number, time.Now()); ok {
			batch.Marks = append(batch.Marks, markOf(number, s.epoch, s.backup, true))
		}
		s.mu.Unlock()
	}
	if len(batch.GetMarks()) > 0 {
		once := func() bool { return false }
		c.appendBatch(batch, nil, once)
	}
}

// moveBackup names new backups in the log. Until that is logged and the new backups have all copies, the claims of
// the slices are safe only in the log.
func (c *Claimer) moveBackup(slices []owned) {
	for _, o := range slices {
		s := &c.slices[o.number]
		s.mu.Lock()
		s.covered = false
		s.mu.Unlock()
	}
	keep := func() bool { return c.owns(slices) }
	if !c.cover(slices) || !c.appendBatch(c.markBatch(slices, true), nil, keep) {
		return
	}
	c.setBackup(slices, false)
	if c.cover(slices) {
		c.setBackup(slices, true)
	}
}

func (c *Claimer) setBackup(slices []owned, covered bool) {
	for _, o := range slices {
		s := &c.slices[o.number]
		s.mu.Lock()
		if s.open && s.epoch == o.Epoch {
			s.backup, s.covered = o.Backup, covered && o.Backup != ""
		}
		s.mu.Unlock()
	}
}

// coverAll covers the open slices that their backup does not cover yet.
func (c *Claimer) coverAll() {
	groups := make(map[ident.DaemonID][]owned)
	for number := range Slice(Slices) {
		s := &c.slices[number]
		s.mu.Lock()
		if s.open && !s.covered && s.backup != "" && !s.blocked(time.Now()) {
			o := owned{number: number, Ownership: Ownership{Owner: c.Self, Backup: s.backup, Epoch: s.epoch}}
			groups[s.backup] = append(groups[s.backup], o)
		}
		s.mu.Unlock()
	}
	for _, slices := range groups {
		if c.cover(slices) {
			c.setBackup(slices, true)
		}
	}
}

// cover makes the backups cover the slices, with copies of all claims that are not logged.
func (c *Claimer) cover(slices []owned) bool {
	requests := make(map[ident.DaemonID]*wire.BackupRequest)
	covered := make(map[Slice]owned, len(slices))
	for _, o := range slices {
		if o.Backup == "" {
			continue
		}
		if requests[o.Backup] == nil {
			requests[o.Backup] = c.backupRequest()
		}
		covered[o.number] = o
		req := requests[o.Backup]
		req.Marks = append(req.Marks, markOf(o.number, o.Epoch, o.Backup, true))
	}
	for _, due := range c.writer.due(time.Now()) {
		o, ok := covered[due.key.slice()]
		if ok && due.record.GetOwnerEpoch() == uint64(o.Epoch) {
			requests[o.Backup].Claims = append(requests[o.Backup].Claims, due.record)
		}
	}
	ok := true
	for backup, req := range requests {
		resp, err := c.sendBackup(backup, req)
		ok = ok && err == nil && !resp.GetNotCovered()
	}
	return ok
}
