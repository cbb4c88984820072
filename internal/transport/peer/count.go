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
	meter.CountSent(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.CountReceived(resp.Any())
	}
	return resp, err
}

func countedAnswer(ctx context.Context, req connect.AnyRequest, next connect.UnaryFunc) (connect.AnyResponse, error) {
	meter.CountReceived(req.Any())
	resp, err := next(ctx, req)
	if err == nil {
		meter.CountSent(resp.Any())
	}
	return resp, err
}
