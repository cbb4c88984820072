// Package rest builds HTTP handlers from typed functions, as go-kit endpoints.
package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// Handler returns a handler that decodes a request, handles it and encodes the response or the error.
// An encoder that has begun to write must return nil.
func Handler[Req, Resp any](
	decode func(context.Context, *http.Request) (Req, error),
	handle func(context.Context, Req) (Resp, error),
	encode func(context.Context, http.ResponseWriter, Resp) error,
	encodeError func(context.Context, http.ResponseWriter, error),
) http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return handle(ctx, request.(Req)) //nolint:errcheck // decode returns Req.
	}
	kit := kithttp.NewServer(e,
		func(ctx context.Context, r *http.Request) (any, error) { return decode(ctx, r) },
		func(ctx context.Context, w http.ResponseWriter, response any) error {
			return encode(ctx, w, response.(Resp)) //nolint:errcheck // handle returns Resp.
		},
		kithttp.ServerErrorEncoder(func(ctx context.Context, err error, w http.ResponseWriter) { encodeError(ctx, w, err) }),
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kit.ServeHTTP(w, r.WithContext(withController(r.Context(), w)))
	})
}

// WriteJSON writes a whole answer within the timeout. A failure to write means that the client has gone,
// which needs no answer.
func WriteJSON(w http.ResponseWriter, status int, v any, timeout time.Duration) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(timeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	_ = rc.SetWriteDeadline(time.Time{})
}

type controllerKey struct{}

// withController makes the connection's deadlines available to decoders, which see no response writer.
func withController(ctx context.Context, w http.ResponseWriter) context.Context {
	return context.WithValue(ctx, controllerKey{}, http.NewResponseController(w))
}

// SetReadDeadline sets the deadline for reading the body of a request and returns the function that lifts it.
func SetReadDeadline(ctx context.Context, timeout time.Duration) (lift func()) {
	rc, ok := ctx.Value(controllerKey{}).(*http.ResponseController)
	if !ok || rc.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return func() {}
	}
	return func() { _ = rc.SetReadDeadline(time.Time{}) }
}
