package peer

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// Handlers answer the calls of other daemons.
type Handlers struct {
	Heartbeat func(context.Context, *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error)
	Tell      func(context.Context, *wire.TellRequest) (*wire.TellResponse, error)
	Burn      func(context.Context, *wire.BurnRequest) (*wire.BurnResponse, error)
	Relay     func(context.Context, *wire.RelayRequest) (*wire.RelayResponse, error)
	Snapshot  func(context.Context, *wire.SnapshotRequest, func(*wire.SnapshotChunk) error) error
	Grant     func(context.Context, *wire.GrantRequest) (*wire.GrantResponse, error)
	Claim     func(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Finish    func(context.Context, *wire.FinishRequest) (*wire.FinishResponse, error)
	Backup    func(context.Context, *wire.BackupRequest) (*wire.BackupResponse, error)
}

// Handler returns the HTTP handler of the service. Calls need the token unless it is empty.
func Handler(h Handlers, token string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(&service{h: h}, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressBytes), counted()))
	return withoutDate(secure.RequireToken(token, mux))
}

// withoutDate leaves out the header that changes with every second, as daemons never compare wall clocks.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

type service struct {
	h Handlers
}

// answer runs one handler.
func answer[Req, Resp any](
	ctx context.Context, r *connect.Request[Req], handle func(context.Context, *Req) (*Resp, error),
) (*connect.Response[Resp], error) {
	resp, err := handle(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

func (s *service) Heartbeat(ctx context.Context, r *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	return answer(ctx, r, s.h.Heartbeat)
}

func (s *service) Tell(ctx context.Context, r *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellResponse], error) {
	return answer(ctx, r, s.h.Tell)
}

func (s *service) Burn(ctx context.Context, r *connect.Request[wire.BurnRequest]) (*connect.Response[wire.BurnResponse], error) {
	return answer(ctx, r, s.h.Burn)
}

func (s *service) Relay(ctx context.Context, r *connect.Request[wire.RelayRequest]) (*connect.Response[wire.RelayResponse], error) {
	return answer(ctx, r, s.h.Relay)
}

func (s *service) Grant(ctx context.Context, r *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	return answer(ctx, r, s.h.Grant)
}

func (s *service) Claim(ctx context.Context, r *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return answer(ctx, r, s.h.Claim)
}

func (s *service) Finish(ctx context.Context, r *connect.Request[wire.FinishRequest]) (*connect.Response[wire.FinishResponse], error) {
	return answer(ctx, r, s.h.Finish)
}

func (s *service) Backup(ctx context.Context, r *connect.Request[wire.BackupRequest]) (*connect.Response[wire.BackupResponse], error) {
	return answer(ctx, r, s.h.Backup)
}

func (s *service) Snapshot(ctx context.Context, r *connect.Request[wire.SnapshotRequest], stream *connect.ServerStream[wire.SnapshotChunk]) error {
	send := func(chunk *wire.SnapshotChunk) error {
		meter.CountSent(chunk)
		return stream.Send(chunk)
	}
	if err := s.h.Snapshot(ctx, r.Msg, send); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}
