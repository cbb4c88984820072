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

// Code says why a request of an operator failed.
type Code string

// Codes of failures.
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
)

// Error is a failed request of an operator. Changed tells whether the configuration was changed.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Path is the entity that the request was about, if one.
	Path ident.Path `json:"path,omitempty"`
	// Current is the entity as it is now and Revision its revision, for conflicts.
	Current  config.Entity `json:"current,omitempty"`
	Revision ident.Offset  `json:"revision,omitempty"`
	// RecordID settles a change whose outcome is unknown: ask for it under /admin/v1/records.
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

// errorBody is the body of a failed request.
type errorBody struct {
	Error *Error `json:"error"`
}

var statuses = map[Code]int{
	CodeInvalid:             http.StatusUnprocessableEntity,
	CodeKeyMissing:          http.StatusUnauthorized,
	CodeKeyInvalid:          http.StatusUnauthorized,
	CodeForbidden:           http.StatusForbidden,
	CodeNotFound:            http.StatusNotFound,
	CodeConflict:            http.StatusConflict,
	CodePreconditionMissing: http.StatusPreconditionRequired,
	CodeLogUnavailable:      http.StatusServiceUnavailable,
	CodeOutcomeUnknown:      http.StatusServiceUnavailable,
}

// writeError is the error encoder of all endpoints.
func writeError(_ context.Context, w http.ResponseWriter, err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		failure = &Error{Code: CodeInvalid, Message: err.Error()}
	}
	if failure.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(int((failure.RetryAfter+time.Second-1)/time.Second)))
	}
	klog.V(1).InfoS("Administration request failed", "code", failure.Code, "path", failure.Path, "err", failure.Err)
	rest.WriteJSON(w, statuses[failure.Code], errorBody{Error: failure}, writeTimeout)
}
