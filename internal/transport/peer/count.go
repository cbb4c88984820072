package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// counted counts the messages of unary calls by kind, at the client and at the server.
func counted() connect.Option {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				return countedCall(ctx, req, next)
			}
			return countedAnswer(ctx, req, next)
		}
	}))
}

func countedCall(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	meter.Sent(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.Received(resp.Any())
	}
	return resp, err
}

func countedAnswer(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	meter.Received(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.Sent(resp.Any())
	}
	return resp, err
}
