package claim

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// writer collects the claims that are not logged yet.
type writer struct {
	mu sync.Mutex
	// pending claims and frees wait for the next append.
	pending []*claim
	frees   []*wire.ClaimRecord
	// unlogged holds the pending claims and those of the append that is under way.
	unlogged map[*claim]struct{}
	// uncopied holds the unlogged claims that may have to be copied, oldest first.
	uncopied []*claim
	wake     chan struct{}
	// added says that claims may have to be copied; down that the log service does not take claims, so that they are
	// copied at once.
	added chan struct{}
	down  atomic.Bool
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// add writes a new claim with the next append.
func (w *writer) add(c *claim) {
	w.mu.Lock()
	w.pending = append(w.pending, c)
	if w.unlogged == nil {
		w.unlogged = make(map[*claim]struct{})
	}
	w.unlogged[c] = struct{}{}
	w.uncopied = append(w.uncopied, c)
	w.mu.Unlock()
	signal(w.wake)
	signal(w.added)
}

// free writes that a claim is free again, with the next append.
func (w *writer) free(c *claim, epoch ident.Offset) {
	w.mu.Lock()
	w.frees = append(w.frees, &wire.ClaimRecord{
		OrganisationId: c.record.GetOrganisationId(),
		KeyDigest:      c.record.GetKeyDigest(),
		RequestId:      c.record.GetRequestId(),
		OwnerEpoch:     uint64(epoch),
		Freed:          true,
	})
	w.mu.Unlock()
	signal(w.wake)
}

// fill moves pending records to a batch and returns their claims.
func (w *writer) fill(batch *wire.ClaimBatch) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), maxBatch-min(maxBatch, len(batch.GetClaims())))
	taken := w.pending[:n]
	for _, c := range taken {
		batch.Claims = append(batch.Claims, c.record)
	}
	w.pending = slices.Clone(w.pending[n:])
	batch.Claims = append(batch.Claims, w.frees...)
	w.frees = nil
	return taken
}

// logged forgets claims that are in the log.
func (w *writer) logged(claims []*claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range claims {
		delete(w.unlogged, c)
	}
}

// takeDue removes and returns the claims that came before the time and were not looked at for a copy.
func (w *writer) takeDue(before time.Time) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(w.uncopied) && !w.uncopied[n].at.After(before) {
		n++
	}
	due := w.uncopied[:n]
	w.uncopied = w.uncopied[n:]
	return due
}

// putBack returns claims that could not be copied; false when none is left at all.
func (w *writer) putBack(left []*claim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.uncopied = append(left, w.uncopied...)
	return len(w.uncopied) > 0
}

// due returns the claims that have not been logged since the time.
func (w *writer) due(since time.Time) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []*claim
	for c := range maps.Keys(w.unlogged) {
		if c.at.Before(since) {
			due = append(due, c)
		}
	}
	return due
}

// write appends claims, one batch after the other.
func (c *Claimer) write() {
	for {
		select {
		case <-c.writer.wake:
		case <-c.life.Context().Done():
			return
		}
		if !c.sleep(orDefault(c.Linger, defaultLinger)) {
			return
		}
		for c.writeBatch() {
		}
	}
}

// writeBatch appends the pending claims; false when there are none.
func (c *Claimer) writeBatch() bool {
	batch := c.newBatch()
	claims := c.writer.fill(batch)
	if len(batch.GetClaims()) == 0 {
		return false
	}
	started := time.Now()
	more := func(b *wire.ClaimBatch) { claims = append(claims, c.writer.fill(b)...) }
	keep := func() bool {
		if time.Since(started) > outageAfter {
			c.writer.down.Store(true)
		}
		return true
	}
	if !c.appendBatch(batch, more, keep) {
		return false
	}
	c.writer.down.Store(false)
	c.writer.logged(claims)
	for _, written := range claims {
		s := &c.slices[written.key.slice()]
		s.mu.Lock()
		written.logged = true
		written.markSafe()
		s.mu.Unlock()
	}
	return true
}

func (c *Claimer) newBatch() *wire.ClaimBatch {
	return &wire.ClaimBatch{
		RecordId:         newRecordID(c.Self),
		Owner:            string(c.Self),
		OwnerIncarnation: uint64(c.Incarnation),
	}
}
