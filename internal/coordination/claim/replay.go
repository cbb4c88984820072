package claim

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// replayedSlice is the state of one slice as recorded in the claims stream.
type replayedSlice struct {
	// fencingEpoch is the highest epoch seen; later records of a lower epoch are ignored.
	fencingEpoch ident.Offset
	// lastTerm is the latest term that opened the slice, lastBackup its backup; hasTerm says that there is one.
	lastTerm   ownerTerm
	lastBackup ident.DaemonID
	hasTerm    bool
	// lastBlocked says that the owner of the last term did not know all claims of its predecessors.
	lastBlocked bool
	// lastClosed says that the last term has ended with all claims logged.
	lastClosed bool
	claims     map[key]*wire.ClaimRecord
}

// replaySlices reads the state of the slices from the stream. When the records of the last retentions have no mark that
// opened some slice, it reads the whole stream.
func (c *Claimer) replaySlices(numbers []Slice) (map[Slice]*replayedSlice, error) {
	from := c.replayStartOffset(time.Now())
	for {
		state := make(map[Slice]*replayedSlice, len(numbers))
		for _, number := range numbers {
			state[number] = &replayedSlice{claims: make(map[key]*wire.ClaimRecord)}
		}
		err := c.readBatches(from, func(batch *wire.ClaimBatch) { applyBatch(state, batch) })
		if err != nil {
			return nil, err
		}
		if from == 1 || allHaveTerm(state) {
			return state, nil
		}
		from = 1
	}
}

func allHaveTerm(state map[Slice]*replayedSlice) bool {
	for _, r := range state {
		if !r.hasTerm {
			return false
		}
	}
	return true
}

// applyBatch applies the claims and marks of a batch that belong to the given slices.
func applyBatch(state map[Slice]*replayedSlice, batch *wire.ClaimBatch) {
	for _, record := range batch.GetClaims() {
		k := keyOf(record.GetOrganisationId(), record.GetKeyDigest())
		if r, ok := state[k.slice()]; ok {
			r.applyClaim(k, record)
		}
	}
	for _, mark := range batch.GetMarks() {
		if r, ok := state[Slice(mark.GetSlice())]; ok {
			r.applyMark(batch, mark)
		}
	}
}

// allLogged reports whether all claims that were granted are in the log. An owner without a backup grants only claims
// that are in the log.
func (r *replayedSlice) allLogged() bool {
	return !r.hasTerm || !r.lastBlocked && (r.lastClosed || r.lastBackup == "")
}

func (r *replayedSlice) applyClaim(k key, record *wire.ClaimRecord) {
	epoch := ident.Offset(record.GetOwnerEpoch())
	if epoch < r.fencingEpoch {
		return
	}
	r.fencingEpoch = epoch
	if !record.GetFreed() {
		r.claims[k] = record
		return
	}
	if current, ok := r.claims[k]; ok && current.GetRequestId() == record.GetRequestId() {
		delete(r.claims, k)
	}
}

func (r *replayedSlice) applyMark(batch *wire.ClaimBatch, mark *wire.SliceMark) {
	epoch := ident.Offset(mark.GetOwnerEpoch())
	if epoch < r.fencingEpoch {
		return
	}
	r.fencingEpoch = epoch
	if mark.GetClosed() {
		r.lastClosed = r.lastClosed || r.lastTerm.epoch == epoch
		return
	}
	if !mark.GetOpened() {
		return
	}
	r.hasTerm, r.lastClosed = true, false
	r.lastBackup = ident.DaemonID(mark.GetBackup())
	r.lastBlocked = mark.GetBlocked()
	r.lastTerm = ownerTerm{
		owner:       ident.DaemonID(batch.GetOwner()),
		incarnation: ident.Incarnation(batch.GetOwnerIncarnation()),
		epoch:       epoch,
	}
}
