package logsvc

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// ResponseError reports a response with status 200 that is not a valid response of the log service.
type ResponseError struct {
	Reason string
}

func (e *ResponseError) Error() string { return "invalid response of the log service: " + e.Reason }

// invalidResponse returns the error for an invalid response. Its kind is LogUnknown, since such a response does not show
// whether the call took effect.
func invalidResponse(stream extern.Stream, reason string) error {
	return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: &ResponseError{Reason: reason}}
}

// kindOfSendError returns LogRefused if no byte of the request was sent, else LogUnknown.
func kindOfSendError(err error) extern.LogErrorKind {
	var send *httpc.SendError
	if errors.As(err, &send) && send.NotSent {
		return extern.LogRefused
	}
	return extern.LogUnknown
}

// statusError returns the error for a response whose status is not 200. It is LogRefused only if the body says so: the
// status alone may come from a proxy between the log service and this client, after the call took effect.
func statusError(stream extern.Stream, resp *http.Response) error {
	var body ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		body = ErrorBody{Message: "the error response has no readable JSON body"}
	}
	cause := &httpc.StatusError{Status: resp.StatusCode, Message: body.Message}
	switch extern.LogErrorKind(body.Kind) {
	case extern.LogRefused:
		return &extern.LogError{Kind: extern.LogRefused, Stream: stream, Err: cause}
	case extern.LogExpired:
		return &extern.LogError{Kind: extern.LogExpired, Stream: stream}
	default:
		return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: cause}
	}
}
