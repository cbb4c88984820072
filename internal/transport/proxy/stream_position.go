package proxy

// streamPosition is how far a caller has got in a stream of events.
type streamPosition struct {
	// lastID is the ID of the last event that has one; empty if there is none.
	lastID string
	// ambiguous says that events without a usable ID have followed, so that lastID doesn't tell what the caller has got.
	ambiguous bool
}

// advance moves the position past an event.
func (p *streamPosition) advance(e *event) {
	switch {
	case e.hasID && e.id != "":
		p.lastID, p.ambiguous = e.id, false
	case e.hasID || e.hasData:
		p.ambiguous = true
	}
}
