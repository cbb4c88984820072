package logsvc

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// AppendResponse is the response to an append: the offset of the new record.
type AppendResponse struct {
	Offset ident.Offset `json:"offset"`
}

// Entry is one record in a ReadResponse. Its payload is base64 in JSON.
type Entry struct {
	Offset  ident.Offset `json:"offset"`
	Payload []byte       `json:"payload"`
}

// ReadResponse is the response to a read. First and Tail are the oldest and the newest offset of the stream.
type ReadResponse struct {
	First   ident.Offset `json:"first"`
	Tail    ident.Offset `json:"tail"`
	Entries []Entry      `json:"entries"`
}

// invalidReason returns why the response can't be a valid response to a read from the offset, or "" if it is valid.
func (a *ReadResponse) invalidReason(from ident.Offset) string {
	if a.First > a.Tail {
		return "the oldest offset is above the newest"
	}
	last := from - 1
	for _, e := range a.Entries {
		if e.Offset < a.First || e.Offset <= last || e.Offset > a.Tail {
			return "its records are not in order"
		}
		last = e.Offset
	}
	return ""
}

// ErrorBody is the body of a response whose status is not 200. Kind is "refused" only if the call had no effect.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}
