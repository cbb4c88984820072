package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Change is the response to an accepted change of the configuration.
type Change struct {
	Resource
	Progress Progress `json:"progress"`
	// Secret is a newly created key in clear text. Only its digest is stored, so no later response contains it.
	Secret string `json:"secret,omitempty"`
}

// precondition is the revision that a change is based on: 0 if the entity must not exist yet.
type precondition struct {
	present      bool
	baseRevision ident.Offset
}

// decodePrecondition reads the precondition from If-Match: "REVISION" or If-None-Match: *. The error is an *Error.
func decodePrecondition(r *http.Request) (precondition, error) {
	if r.Header.Get(headerIfNoneMatch) == "*" {
		return precondition{present: true}, nil
	}
	ifMatch := r.Header.Get(headerIfMatch)
	if ifMatch == "" {
		return precondition{}, nil
	}
	base, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil {
		return precondition{}, &Error{Code: CodeInvalid, Message: headerIfMatch + " is not a revision, it has the form \"NUMBER\"", Err: err}
	}
	return precondition{present: true, baseRevision: ident.Offset(base)}, nil
}

func etag(revision ident.Offset) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

// putEntity creates or replaces an entity, provided that the operator has the role and baseRevision is the current
// revision (0: no entity yet). The error is an *Error.
func (s *Server) putEntity(ctx context.Context, role config.Role, baseRevision ident.Offset, e config.Entity) (*Change, error) {
	op, path := operatorFromContext(ctx), config.PathOf(e)
	if err := checkRole(op, role, path); err != nil {
		return nil, err
	}
	return s.appendRecord(ctx, config.NewRecord(s.recordID(ctx, path), string(op.ID), baseRevision, e), e)
}

// appendRecord writes a record to the control stream and returns the resulting change. e is nil for a deletion.
// The error is an *Error.
func (s *Server) appendRecord(ctx context.Context, rec *wire.Record, e config.Entity) (*Change, error) {
	path := ident.Path(rec.GetPath())
	offset, err := s.Writer.Write(ctx, rec)
	if err != nil {
		return nil, s.changeError(path, ident.RecordID(rec.GetRecordId()), err)
	}
	revision := offset
	if e == nil {
		revision = 0
	}
	return &Change{Resource: Resource{Path: path, Revision: revision, Entity: e}, Progress: s.Progress(offset)}, nil
}

// changeError converts an error of Writer to an *Error. An error of a type that Writer does not document becomes one with
// CodeOutcomeUnknown.
func (s *Server) changeError(path ident.Path, id ident.RecordID, err error) error {
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		st := s.State()
		return &Error{
			Code:     CodeConflict,
			Message:  "somebody else changed it first; look at the current state and repeat your change on top of it",
			Path:     path,
			Current:  st.Entity(path),
			Revision: st.Revision(path),
			Err:      err,
		}
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return &Error{Code: CodeInvalid, Message: invalid.Reason, Path: path, Err: err}
	}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return &Error{
		Code:       CodeOutcomeUnknown,
		Message:    "the log service gave no answer; the change may still take effect",
		Path:       path,
		RecordID:   id,
		RetryAfter: logUnavailableRetryAfter,
		Err:        err,
	}
}

// recordID returns the id of a new record. With an idempotency key, the id is derived from operator, key and path,
// so that a retried request writes the same record.
func (s *Server) recordID(ctx context.Context, path ident.Path) ident.RecordID {
	if key := idempotencyKeyFromContext(ctx); key != "" {
		digest := ident.DigestOf(string(operatorFromContext(ctx).ID) + "\x00" + key + "\x00" + string(path))
		return ident.RecordID(hex.EncodeToString(digest[:16]))
	}
	return ident.RecordID(randomHex(idRandomBytes))
}

func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

type idempotencyContextKey struct{}

// withIdempotencyKey stores the Idempotency-Key header of a request in its context.
func withIdempotencyKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), idempotencyContextKey{}, r.Header.Get(headerIdempotencyKey))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func idempotencyKeyFromContext(ctx context.Context) string {
	key, _ := ctx.Value(idempotencyContextKey{}).(string)
	return key
}
