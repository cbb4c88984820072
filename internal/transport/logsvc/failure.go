package logsvc

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// ResponseError is an answer of status 200 that the log service does not give.
type ResponseError struct {
	Reason string
}

func (e *ResponseError) Error() string { return "the answer can't be the log service's: " + e.Reason }

// unreadable is the error of an answer that says nothing of the call's effect.
func unreadable(stream extern.Stream, reason string) error {
	return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: &ResponseError{Reason: reason}}
}

// kindOfSendError returns LogRefused only if no byte of the call has left.
func kindOfSendError(err error) extern.LogErrorKind {
	var send *httpc.SendError
	if errors.As(err, &send) && send.NotSent {
		return extern.LogRefused
	}
	return extern.LogUnknown
}

// failure returns the error of an answer that is not 200. Only an answer that says so itself is LogRefused:
// a bare status may come from something between the log service and this client.
func failure(stream extern.Stream, resp *http.Response) error {
	var f ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil {
		f = ErrorBody{Message: "the answer has no readable failure"}
	}
	cause := &httpc.StatusError{Status: resp.StatusCode, Message: f.Message}
	switch extern.LogErrorKind(f.Kind) {
	case extern.LogRefused:
		return &extern.LogError{Kind: extern.LogRefused, Stream: stream, Err: cause}
	case extern.LogExpired:
		return &extern.LogError{Kind: extern.LogExpired, Stream: stream}
	default:
		return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: cause}
	}
}
