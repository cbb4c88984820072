package claim

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// replayed is what the claims stream tells of one slice.
type replayed struct {
	// fence is the highest epoch seen; batches of older ones that come later are ignored.
	fence ident.Offset
	// last is the latest term that decided claims, with its backup; marked says that there is one.
	last   term
	backup ident.DaemonID
	marked bool
	// blocked says that the owner did not know all claims of its predecessors.
	blocked bool
	// closed says that the term has ended with all claims logged.
	closed bool
	claims map[key]*wire.ClaimRecord
}

// replay reads the stream for the slices. It goes back far enough to find a mark of every slice, if the stream has one.
func (c *Claimer) replay(numbers []Slice) (map[Slice]*replayed, error) {
	from := c.replayStart(time.Now())
	for {
		state := make(map[Slice]*replayed, len(numbers))
		for _, number := range numbers {
			state[number] = &replayed{claims: make(map[key]*wire.ClaimRecord)}
		}
		err := c.read(from, func(batch *wire.ClaimBatch) { applyBatch(state, batch) })
		if err != nil {
			return nil, err
		}
		if from == 1 || allMarked(state) {
			return state, nil
		}
		from = 1
	}
}

func allMarked(state map[Slice]*replayed) bool {
	for _, r := range state {
		if !r.marked {
			return false
		}
	}
	return true
}

// applyBatch applies the records of a batch that belong to the slices.
func applyBatch(state map[Slice]*replayed, batch *wire.ClaimBatch) {
	for _, record := range batch.GetClaims() {
		k := keyOf(record.GetOrganisationId(), record.GetKeyDigest())
		if r, ok := state[k.slice()]; ok {
			r.apply(k, record)
		}
	}
	for _, mark := range batch.GetMarks() {
		if r, ok := state[Slice(mark.GetSlice())]; ok {
			r.applyMark(batch, mark)
		}
	}
}

// logged tells whether all claims that were granted are in the log. An owner without a backup grants no others.
func (r *replayed) logged() bool {
	return !r.marked || !r.blocked && (r.closed || r.backup == "")
}

func (r *replayed) apply(k key, record *wire.ClaimRecord) {
	epoch := ident.Offset(record.GetOwnerEpoch())
	if epoch < r.fence {
		return
	}
	r.fence = epoch
	if !record.GetFreed() {
		r.claims[k] = record
		return
	}
	if held, ok := r.claims[k]; ok && held.GetRequestId() == record.GetRequestId() {
		delete(r.claims, k)
	}
}

func (r *replayed) applyMark(batch *wire.ClaimBatch, mark *wire.SliceMark) {
	epoch := ident.Offset(mark.GetOwnerEpoch())
	if epoch < r.fence {
		return
	}
	r.fence = epoch
	if mark.GetClosed() {
		r.closed = r.closed || r.last.epoch == epoch
		return
	}
	if !mark.GetOpened() {
		return
	}
	r.marked, r.closed = true, false
	r.backup = ident.DaemonID(mark.GetBackup())
	r.blocked = mark.GetBlocked()
	r.last = term{
		owner:       ident.DaemonID(batch.GetOwner()),
		incarnation: ident.Incarnation(batch.GetOwnerIncarnation()),
		epoch:       epoch,
	}
}
