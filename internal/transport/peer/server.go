package peer

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// Handlers handle the calls of other daemons; each field handles the call of its name.
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

// Handler returns the HTTP handler for calls of other daemons. Calls must carry the token unless it is empty.
func Handler(h Handlers, token string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(&service{handlers: h}, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes), countMessages()))
	return withoutDate(secure.RequireToken(token, intake.CountBody(mux)))
}

// withoutDate omits the Date header from responses: it changes every second, and daemons never compare wall clocks.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// service implements the handler of wire.PeerService.
type service struct {
	handlers Handlers
}

// respond runs the handler of a unary call. An error of the handler becomes a connect error with CodeUnavailable.
func respond[Req, Resp any](
	ctx context.Context, r *connect.Request[Req], handle func(context.Context, *Req) (*Resp, error),
) (*connect.Response[Resp], error) {
	resp, err := handle(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

func (s *service) Heartbeat(ctx context.Context, r *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	return respond(ctx, r, s.handlers.Heartbeat)
}

func (s *service) Tell(ctx context.Context, r *connect.Request[wire.TellRequest]) (*connect.Response[wire.TellResponse], error) {
	return respond(ctx, r, s.handlers.Tell)
}

func (s *service) Burn(ctx context.Context, r *connect.Request[wire.BurnRequest]) (*connect.Response[wire.BurnResponse], error) {
	return respond(ctx, r, s.handlers.Burn)
}

func (s *service) Relay(ctx context.Context, r *connect.Request[wire.RelayRequest]) (*connect.Response[wire.RelayResponse], error) {
	return respond(ctx, r, s.handlers.Relay)
}

func (s *service) Grant(ctx context.Context, r *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	return respond(ctx, r, s.handlers.Grant)
}

func (s *service) Claim(ctx context.Context, r *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return respond(ctx, r, s.handlers.Claim)
}

func (s *service) Finish(ctx context.Context, r *connect.Request[wire.FinishRequest]) (*connect.Response[wire.FinishResponse], error) {
	return respond(ctx, r, s.handlers.Finish)
}

func (s *service) Backup(ctx context.Context, r *connect.Request[wire.BackupRequest]) (*connect.Response[wire.BackupResponse], error) {
	return respond(ctx, r, s.handlers.Backup)
}

func (s *service) Snapshot(ctx context.Context, r *connect.Request[wire.SnapshotRequest], stream *connect.ServerStream[wire.SnapshotChunk]) error {
	send := func(chunk *wire.SnapshotChunk) error {
		meter.CountSent(chunk)
		return stream.Send(chunk)
	}
	if err := s.handlers.Snapshot(ctx, r.Msg, send); err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}
