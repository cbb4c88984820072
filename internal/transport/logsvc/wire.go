package logsvc

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// AppendResponse answers an append.
type AppendResponse struct {
	Offset ident.Offset `json:"offset"`
}

// Entry is one record in the answer to a read; the payload is base64 in JSON.
type Entry struct {
	Offset  ident.Offset `json:"offset"`
	Payload []byte       `json:"payload"`
}

// ReadResponse answers a read.
type ReadResponse struct {
	First   ident.Offset `json:"first"`
	Tail    ident.Offset `json:"tail"`
	Entries []Entry      `json:"entries"`
}

// fault returns what a log service can't have meant by the answer to a read from the offset, empty if nothing.
func (a *ReadResponse) fault(from ident.Offset) string {
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

// ErrorBody is the body of an answer that is not 200. Kind is "refused" only if the call had no effect.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}
