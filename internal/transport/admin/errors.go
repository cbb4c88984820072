package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// Code is the machine-readable reason why an operator's request failed.
type Code string

// Error codes of the administration API.
const (
	CodeInvalid             Code = "invalid"
	CodeKeyMissing          Code = "keyMissing"
	CodeKeyInvalid          Code = "keyInvalid"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "notFound"
	CodeConflict            Code = "conflict"
	CodePreconditionMissing Code = "preconditionMissing"
	CodeLogUnavailable      Code = "logUnavailable"
	CodeOutcomeUnknown      Code = "outcomeUnknown"
	CodeOverloaded          Code = "overloaded"
)

// Error is the response to an operator's request that failed. Only with CodeOutcomeUnknown may the change still take
// effect.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Path is the path of the entity that the request concerns, if any.
	Path ident.Path `json:"path,omitempty"`
	// Current and Revision are the present entity and its revision, for CodeConflict.
	Current  config.Entity `json:"current,omitempty"`
	Revision ident.Offset  `json:"revision,omitempty"`
	// RecordID is the id of the record whose outcome is unknown, for CodeOutcomeUnknown.
	RecordID   ident.RecordID `json:"recordId,omitempty"`
	RetryAfter time.Duration  `json:"-"`
	Err        error          `json:"-"`
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// errorBody is the response body of a failed request.
type errorBody struct {
	Error *Error `json:"error"`
}

var statusByCode = map[Code]int{
	CodeInvalid:             http.StatusUnprocessableEntity,
	CodeKeyMissing:          http.StatusUnauthorized,
	CodeKeyInvalid:          http.StatusUnauthorized,
	CodeForbidden:           http.StatusForbidden,
	CodeNotFound:            http.StatusNotFound,
	CodeConflict:            http.StatusConflict,
	CodePreconditionMissing: http.StatusPreconditionRequired,
	CodeLogUnavailable:      http.StatusServiceUnavailable,
	CodeOutcomeUnknown:      http.StatusServiceUnavailable,
	CodeOverloaded:          http.StatusServiceUnavailable,
}

// writeError is the error encoder of all operations. It reports an error that is no *Error as CodeInvalid.
func writeError(_ context.Context, w http.ResponseWriter, err error) {
	var apiErr *Error
	if !errors.As(err, &apiErr) {
		apiErr = &Error{Code: CodeInvalid, Message: err.Error()}
	}
	if apiErr.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(int((apiErr.RetryAfter+time.Second-1)/time.Second)))
	}
	klog.V(1).InfoS("Administration request failed", "code", apiErr.Code, "path", apiErr.Path, "err", apiErr.Err)
	rest.WriteJSON(w, statusByCode[apiErr.Code], errorBody{Error: apiErr}, writeTimeout)
}
