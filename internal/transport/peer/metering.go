package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// countMessages returns an option that counts the sent and received messages of unary calls by kind. It works for
// clients and servers.
func countMessages() connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				return countClientCall(ctx, req, next)
			}
			return countServerCall(ctx, req, next)
		}
	}))
}

func countClientCall(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	meter.CountSent(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.CountReceived(resp.Any())
	}
	return resp, err
}

func countServerCall(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	meter.CountReceived(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.CountSent(resp.Any())
	}
	return resp, err
}
