package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// operation is one method on one path of the administration API.
type operation struct {
	method, path string
	// id and summary appear in the OpenAPI document.
	id, summary string
	// request and response are example values from which the schemas of the bodies are generated; nil without a body.
	request, response any
	// entity is an example of the entity in the response; nil if it contains none.
	entity config.Entity
	// status is the HTTP status of a successful response.
	status  int
	handler http.Handler
}

// operations returns all operations of the API. Both the handler and the OpenAPI document are built from this list.
func (s *Server) operations() []operation {
	var ops []operation
	for _, k := range kinds() {
		ops = append(ops, s.kindOperations(k)...)
	}
	ops = append(ops, s.operatorOperations()...)
	ops = append(ops, s.keyOperations()...)
	ops = append(ops, s.memberOperations()...)
	ops = append(ops, s.moveOperations()...)
	ops = append(ops, s.settingOperations()...)
	return append(ops, s.reportOperations()...)
}

// newHandler returns a handler that authenticates the operator, decodes the request, calls the operation and writes the
// response with the status.
func newHandler[Req, Resp any](
	s *Server, status int,
	decode func(context.Context, *http.Request) (Req, error),
	call func(context.Context, Req) (Resp, error),
) http.Handler {
	encode := func(_ context.Context, w http.ResponseWriter, resp Resp) error {
		setETag(w, resp)
		rest.WriteJSON(w, status, resp, writeTimeout)
		return nil
	}
	return s.requireOperator(withIdempotencyKey(rest.Handler(decode, call, encode, writeError)))
}

// setETag sets the ETag header to the revision of the entity, if the response contains one.
func setETag(w http.ResponseWriter, resp any) {
	switch resp := resp.(type) {
	case *Resource:
		w.Header().Set(headerETag, etag(resp.Revision))
	case *Change:
		w.Header().Set(headerETag, etag(resp.Revision))
	}
}

// decodeNothing is the decoder of requests without parameters.
func decodeNothing(context.Context, *http.Request) (struct{}, error) { return struct{}{}, nil }

// decodePathID returns the {id} of the path.
func decodePathID(_ context.Context, r *http.Request) (string, error) { return r.PathValue("id"), nil }

// readBody reads the body of a request, at most maxBodyBytes within readBodyTimeout. The error is an *Error.
func readBody(ctx context.Context, r *http.Request) ([]byte, error) {
	body, err := rest.ReadBody(ctx, r, maxBodyBytes, readBodyTimeout, bodyCopies)
	var bodyErr *rest.BodyError
	if errors.As(err, &bodyErr) && bodyErr.Kind == rest.BodyNoMemory {
		return nil, &Error{Code: CodeOverloaded, Message: err.Error(), RetryAfter: memoryRetryAfter, Err: err}
	}
	if err != nil {
		return nil, &Error{Code: CodeInvalid, Message: err.Error(), Err: err}
	}
	return body, nil
}
