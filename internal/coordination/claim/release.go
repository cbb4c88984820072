package claim

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Release gives up the slices of a daemon that is leaving and records those whose claims are all in the log as closed,
// so that their next owners need not reach this daemon or its backup. It is called once the daemon decides no more
// claims, and returns when the record is in the log or ctx ends. A slice that is not recorded is taken over as after
// a crash.
func (c *Claimer) Release(ctx context.Context) {
	c.init()
	batch := c.newBatch()
	for number := range Slice(Slices) {
		if mark := c.slices[number].release(number); mark != nil {
			batch.Marks = append(batch.Marks, mark)
		}
	}
	if len(batch.GetMarks()) > 0 {
		c.appendBatch(batch, nil, func() bool { return ctx.Err() == nil })
	}
}

// release ends the epoch of an open slice. The mark says that it is closed; nil if claims may not be in the log.
func (s *slice) release(number Slice) *wire.SliceMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open || s.blocked(time.Now()) || !s.logged() {
		return nil
	}
	s.open, s.ended = false, true
	mark := markOf(number, s.epoch, s.backup, true)
	mark.Closed = true
	return mark
}

// logged tells whether all claims of the slice are in the log. The mutex of the slice is held.
func (s *slice) logged() bool {
	for _, c := range s.claims {
		if !c.logged && !c.freed {
			return false
		}
	}
	return true
}
