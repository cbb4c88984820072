package admin

import (
	"context"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// operation is one call of the administration API.
type operation struct {
	method, path string
	// id and summary go into the OpenAPI document.
	id, summary string
	// request and response are examples of the bodies; nil for none.
	request, response any
	// entity is an example of the entity in the response, if it holds one.
	entity config.Entity
	// status of a good answer.
	status  int
	handler http.Handler
}

// operations returns all calls of the API. The OpenAPI document is made from the same list.
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

// handle returns the handler of an operation: authenticated, with typed functions.
func handle[Req, Resp any](
	s *Server, status int,
	decode func(context.Context, *http.Request) (Req, error),
	run func(context.Context, Req) (Resp, error),
) http.Handler {
	encode := func(_ context.Context, w http.ResponseWriter, resp Resp) error {
		setETag(w, resp)
		rest.WriteJSON(w, status, resp, writeTimeout)
		return nil
	}
	return s.authenticated(withIdempotency(rest.Handler(decode, run, encode, writeError)))
}

// setETag sends the revision of the entity in the answer, if there is one.
func setETag(w http.ResponseWriter, resp any) {
	switch resp := resp.(type) {
	case *Resource:
		w.Header().Set(headerETag, etag(resp.Revision))
	case *Change:
		w.Header().Set(headerETag, etag(resp.Revision))
	}
}

// none decodes a request without parameters.
func none(context.Context, *http.Request) (struct{}, error) { return struct{}{}, nil }

// pathID decodes the id in the path.
func pathID(_ context.Context, r *http.Request) (string, error) { return r.PathValue("id"), nil }

// readBody reads the body of a request. The error is an *Error.
func readBody(ctx context.Context, r *http.Request) ([]byte, error) {
	body, err := rest.ReadBody(ctx, r, maxBodyBytes, bodyTimeout)
	if err != nil {
		return nil, &Error{Code: CodeInvalid, Message: err.Error(), Err: err}
	}
	return body, nil
}
