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

// writer holds the claims that are not logged yet, for the append loop and the copy loop.
type writer struct {
	mu sync.Mutex
	// pending and pendingFrees wait for the next append.
	pending      []*claim
	pendingFrees []*wire.ClaimRecord
	// unlogged holds the pending claims and those of the append in progress.
	unlogged map[*claim]struct{}
	// copyQueue holds the claims that may have to be copied to a backup, oldest first.
	copyQueue  []*claim
	appendWake chan struct{}
	// copyWake wakes the copy loop. logDown says that the log service takes no claims, so that new claims are copied
	// at once.
	copyWake chan struct{}
	logDown  atomic.Bool
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// enqueue adds a new claim to the next append.
func (w *writer) enqueue(c *claim) {
	w.mu.Lock()
	w.pending = append(w.pending, c)
	if w.unlogged == nil {
		w.unlogged = make(map[*claim]struct{})
	}
	w.unlogged[c] = struct{}{}
	w.copyQueue = append(w.copyQueue, c)
	w.mu.Unlock()
	notify(w.appendWake)
	notify(w.copyWake)
}

// enqueueFree adds a record that frees the claim's key to the next append.
func (w *writer) enqueueFree(c *claim, epoch ident.Offset) {
	w.mu.Lock()
	w.pendingFrees = append(w.pendingFrees, &wire.ClaimRecord{
		OrganisationId: c.record.GetOrganisationId(),
		KeyDigest:      c.record.GetKeyDigest(),
		RequestId:      c.record.GetRequestId(),
		OwnerEpoch:     uint64(epoch),
		Freed:          true,
	})
	w.mu.Unlock()
	notify(w.appendWake)
}

// takePending moves pending records to the batch and returns their claims.
func (w *writer) takePending(batch *wire.ClaimBatch) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), maxBatchClaims-min(maxBatchClaims, len(batch.GetClaims())))
	taken := w.pending[:n]
	for _, c := range taken {
		batch.Claims = append(batch.Claims, c.record)
	}
	w.pending = slices.Clone(w.pending[n:])
	batch.Claims = append(batch.Claims, w.pendingFrees...)
	w.pendingFrees = nil
	return taken
}

// markLogged removes claims that are in the log.
func (w *writer) markLogged(claims []*claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range claims {
		delete(w.unlogged, c)
	}
}

// takeCopyQueue removes and returns the claims of the copy queue that were made at the given time or earlier.
func (w *writer) takeCopyQueue(before time.Time) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(w.copyQueue) && !w.copyQueue[n].claimedAt.After(before) {
		n++
	}
	due := w.copyQueue[:n]
	w.copyQueue = w.copyQueue[n:]
	return due
}

// requeueCopies puts back claims that could not be copied. It returns false when the copy queue is empty.
func (w *writer) requeueCopies(remaining []*claim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copyQueue = append(remaining, w.copyQueue...)
	return len(w.copyQueue) > 0
}

// unloggedBefore returns the unlogged claims that were made before the given time.
func (w *writer) unloggedBefore(before time.Time) []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	var claims []*claim
	for c := range maps.Keys(w.unlogged) {
		if c.claimedAt.Before(before) {
			claims = append(claims, c)
		}
	}
	return claims
}

// appendLoop appends claims, one batch after the other.
func (c *Claimer) appendLoop() {
	for {
		select {
		case <-c.writer.appendWake:
		case <-c.scope.Context().Done():
			return
		}
		if !c.sleep(orDefault(c.Linger, defaultLinger)) {
			return
		}
		for c.appendPending() {
		}
	}
}

// appendPending appends one batch of pending claims. It returns false when there are none or the claimer closes.
func (c *Claimer) appendPending() bool {
	batch := c.newBatch()
	claims := c.writer.takePending(batch)
	if len(batch.GetClaims()) == 0 {
		return false
	}
	started := time.Now()
	addMore := func(b *wire.ClaimBatch) { claims = append(claims, c.writer.takePending(b)...) }
	shouldRetry := func() bool {
		if time.Since(started) > logOutageAfter {
			c.writer.logDown.Store(true)
		}
		return true
	}
	if !c.appendBatch(batch, addMore, shouldRetry) {
		return false
	}
	c.writer.logDown.Store(false)
	c.writer.markLogged(claims)
	for _, cl := range claims {
		s := &c.slices[cl.key.slice()]
		s.mu.Lock()
		cl.logged = true
		cl.markDurable()
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
