// Package rest is the common base of the HTTP servers: handlers that are built as go-kit endpoints from typed decode, handle
// and encode functions, request bodies that are read within limits of size and time, and graceful shutdown.
package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// Handler returns a handler that decodes a request, handles it and encodes the response or the error. An encode function
// that has started to write must return nil, because encodeError would write a second response.
func Handler[Req, Resp any](
	decode func(context.Context, *http.Request) (Req, error),
	handle func(context.Context, Req) (Resp, error),
	encode func(context.Context, http.ResponseWriter, Resp) error,
	encodeError func(context.Context, http.ResponseWriter, error),
) http.Handler {
	var typedEndpoint endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return handle(ctx, request.(Req)) //nolint:errcheck // decode returns Req.
	}
	kitServer := kithttp.NewServer(typedEndpoint,
		func(ctx context.Context, r *http.Request) (any, error) { return decode(ctx, r) },
		func(ctx context.Context, w http.ResponseWriter, response any) error {
			return encode(ctx, w, response.(Resp)) //nolint:errcheck // handle returns Resp.
		},
		kithttp.ServerErrorEncoder(func(ctx context.Context, err error, w http.ResponseWriter) { encodeError(ctx, w, err) }),
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kitServer.ServeHTTP(w, r.WithContext(withResponseController(r.Context(), w)))
	})
}

// WriteJSON writes a complete JSON response within the timeout. It ignores write errors: they mean that the sender of
// the request has disconnected, so that no error response could reach it.
func WriteJSON(w http.ResponseWriter, status int, v any, timeout time.Duration) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(timeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	_ = rc.SetWriteDeadline(time.Time{})
}

type responseControllerContextKey struct{}

// withResponseController stores the response controller of a request in its context, so that decode functions, which get
// no response writer, can set deadlines on the connection.
func withResponseController(ctx context.Context, w http.ResponseWriter) context.Context {
	return context.WithValue(ctx, responseControllerContextKey{}, http.NewResponseController(w))
}

// SetReadDeadline sets the deadline for reading the body of a request that Handler serves, and returns the function that
// removes it. Without a response controller in ctx it does nothing.
func SetReadDeadline(ctx context.Context, timeout time.Duration) (clearDeadline func()) {
	rc, ok := ctx.Value(responseControllerContextKey{}).(*http.ResponseController)
	if !ok || rc.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { _ = rc.SetReadDeadline(time.Time{}) }
}
