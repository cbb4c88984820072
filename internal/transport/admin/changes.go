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

// Change is the answer to an accepted change.
type Change struct {
	Resource
	Progress Progress `json:"progress"`
	// Secret is a new key in clear text. It is shown once.
	Secret string `json:"secret,omitempty"`
}

// precondition is the revision that a change is based on.
type precondition struct {
	given bool
	base  ident.Offset
}

// decodePrecondition reads If-Match: "REVISION" or If-None-Match: *.
func decodePrecondition(r *http.Request) (precondition, error) {
	if r.Header.Get(headerIfNoneMatch) == "*" {
		return precondition{given: true}, nil
	}
	match := r.Header.Get(headerIfMatch)
	if match == "" {
		return precondition{}, nil
	}
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return precondition{}, &Error{Code: CodeInvalid, Message: headerIfMatch + " is not a revision, it has the form \"NUMBER\"", Err: err}
	}
	return precondition{given: true, base: ident.Offset(base)}, nil
}

func etag(revision ident.Offset) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

// put writes an entity based on a revision and returns the change.
func (s *Server) put(ctx context.Context, role config.Role, base ident.Offset, e config.Entity) (*Change, error) {
	op, path := operatorOf(ctx), config.PathOf(e)
	if err := checkRole(op, role, path); err != nil {
		return nil, err
	}
	return s.write(ctx, config.NewRecord(s.recordID(ctx, path), string(op.ID), base, e), e)
}

// write appends a record and describes what came of it. The entity is nil for deletions.
func (s *Server) write(ctx context.Context, rec *wire.Record, e config.Entity) (*Change, error) {
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
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{
		Code:       CodeOutcomeUnknown,
		Message:    "the log service gave no answer; the change may still take effect",
		Path:       path,
		RecordID:   id,
		RetryAfter: retryUnavailable,
		Err:        err,
	}
}

// recordID returns the id of a new record. With an idempotency key a repeated request gets the same id.
func (s *Server) recordID(ctx context.Context, path ident.Path) ident.RecordID {
	if key := idempotencyOf(ctx); key != "" {
		digest := ident.DigestOf(string(operatorOf(ctx).ID) + "\x00" + key + "\x00" + string(path))
		return ident.RecordID(hex.EncodeToString(digest[:16]))
	}
	return ident.RecordID(randomHex(idBytes))
}

func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

type idempotencyKey struct{}

// withIdempotency keeps the idempotency key of a request in its context.
func withIdempotency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), idempotencyKey{}, r.Header.Get(headerIdempotency))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func idempotencyOf(ctx context.Context) string {
	key, _ := ctx.Value(idempotencyKey{}).(string)
	return key
}
