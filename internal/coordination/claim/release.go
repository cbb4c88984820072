package claim

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Release gives up the slices of a daemon that is leaving. Slices whose claims are all in the log are recorded as
// closed, so that their next owners need not reach this daemon or its backup. Call it when the daemon decides no more
// claims; it returns when the record is in the log or ctx ends. A slice that is not recorded is taken over as after a
// crash.
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

// release ends the epoch of an open slice and returns the mark that closes it; nil if claims may not be in the log.
func (s *slice) release(number Slice) *wire.SliceMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open || s.blocked(time.Now()) || !s.allLogged() {
		return nil
	}
	s.open, s.handedOver = false, true
	mark := newMark(number, s.epoch, s.backup, true)
	mark.Closed = true
	return mark
}

// allLogged reports whether all claims of the slice that are not freed are in the log. The mutex of the slice is held.
func (s *slice) allLogged() bool {
	for _, c := range s.claims {
		if !c.logged && !c.freed {
			return false
		}
	}
	return true
}
