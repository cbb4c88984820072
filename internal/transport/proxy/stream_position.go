package proxy

import (
	"errors"
	"fmt"
	"strconv"
)

// streamPosition is how far a caller has got in a stream of events.
type streamPosition struct {
	// lastID is the ID of the last event that has one; empty if there is none.
	lastID string
	// ambiguous says that events without a usable ID have followed, so that lastID doesn't tell what the caller has got.
	ambiguous bool
	// events is the number of events with an ID. gaps says that the IDs didn't go up by one from each of them to the next.
	events int
	gaps   bool
}

// ContinuationError reports a response that doesn't go on where the caller's stream broke off.
type ContinuationError struct {
	// After is the ID of the last event that the caller has got, Got that of the first event of the response; empty if it has none.
	After, Got string
}

func (e *ContinuationError) Error() string {
	return fmt.Sprintf("the response goes on with event %q after event %q", e.Got, e.After)
}

func isContinuationError(err error) bool {
	_, ok := errors.AsType[*ContinuationError](err)
	return ok
}

// advance moves the position past an event.
func (p *streamPosition) advance(e *event) {
	switch {
	case e.hasID && e.id != "":
		p.gaps = p.gaps || !p.isSuccessor(e.id)
		p.lastID, p.ambiguous = e.id, false
		p.events++
	case e.hasID || e.hasData:
		p.ambiguous = true
	}
}

// isSuccessor reports whether an ID is one more than the last one.
func (p *streamPosition) isSuccessor(id string) bool {
	last, next, ok := p.numbers(id)
	return ok && next == last+1
}

// numbers returns the last ID and another one as numbers; ok is false if they aren't.
func (p *streamPosition) numbers(id string) (last, next uint64, ok bool) {
	var err error
	if p.lastID != "" {
		if last, err = strconv.ParseUint(p.lastID, 10, 64); err != nil {
			return 0, 0, false
		}
	}
	next, err = strconv.ParseUint(id, 10, 64)
	return last, next, err == nil
}

// checkContinuation returns a *ContinuationError unless the event, the first of another response, may follow the position: its ID
// is higher, and the next one if the IDs of the stream have had no gaps.
func (p *streamPosition) checkContinuation(e *event) error {
	if p.lastID == "" {
		return nil
	}
	last, next, numeric := p.numbers(e.id)
	switch {
	case e.id == "", e.id == p.lastID, numeric && next <= last, p.events > 0 && !p.gaps && !p.isSuccessor(e.id):
		return &ContinuationError{After: p.lastID, Got: e.id}
	default:
		return nil
	}
}
