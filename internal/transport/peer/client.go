// Package peer is the client and the server for calls between daemons. It uses connect-go over HTTP/2, with TLS or, on
// loopback, with a shared token.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
)

const (
	// callTimeout bounds a unary call between daemons unless the context has a shorter deadline.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the TCP connect and the TLS handshake, each.
	dialTimeout = time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 90 * time.Second
	// minCompressBytes is the size from which responses are compressed; gzip makes smaller ones larger.
	minCompressBytes = 1 << 10
	// maxMessageBytes is the maximum size of a message between daemons.
	maxMessageBytes = 4 << 20
)

// UnknownDaemonError reports that no address of the daemon is known, so the call was not sent.
type UnknownDaemonError struct {
	Daemon ident.DaemonID
}

func (e *UnknownDaemonError) Error() string {
	return fmt.Sprintf("no address of daemon %s is known", e.Daemon)
}

// CallError reports a failed call to another daemon. The call may have taken effect.
type CallError struct {
	Daemon ident.DaemonID
	Err    error
}

func (e *CallError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Daemon, e.Err) }

func (e *CallError) Unwrap() error { return e.Err }

// Client calls other daemons. Its fields must be set before the first call. The error of a call is an
// *UnknownDaemonError or a *CallError.
type Client struct {
	// Resolve returns the peer address of a daemon.
	Resolve func(ident.DaemonID) (string, bool)
	// TLS is nil on loopback, where Token authenticates the calls.
	TLS   *tls.Config
	Token string

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	clients map[string]wire.PeerServiceClient
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.http.CloseIdleConnections()
}

func (c *Client) init() {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(c.TLS != nil)
	protocols.SetUnencryptedHTTP2(c.TLS == nil)
	c.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig:     c.TLS,
		Protocols:           protocols,
		DialContext:         meter.LinkPeers.Dial(dialer().DialContext),
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: callTimeout,
			PingTimeout:     callTimeout,
		},
	}}
	c.clients = map[string]wire.PeerServiceClient{}
}

func (c *Client) client(daemon ident.DaemonID) (wire.PeerServiceClient, error) {
	c.once.Do(c.init)
	addr, ok := c.Resolve(daemon)
	if !ok {
		return nil, &UnknownDaemonError{Daemon: daemon}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[addr]
	if !ok {
		client = wire.NewPeerServiceClient(c.http, c.baseURL(addr), connect.WithReadMaxBytes(maxMessageBytes), countMessages())
		c.clients[addr] = client
	}
	return client, nil
}

func (c *Client) baseURL(addr string) string {
	if c.TLS != nil {
		return "https://" + addr
	}
	return "http://" + addr
}

// call makes one unary call with the token and callTimeout. The error is an *UnknownDaemonError or a *CallError.
func call[Req, Resp any](
	ctx context.Context, c *Client, daemon ident.DaemonID, req *Req,
	method func(wire.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	client, err := c.client(daemon)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := connect.NewRequest(req)
	secure.AddToken(r.Header(), c.Token)
	var resp *connect.Response[Resp]
	meter.WithProfileLabel(ctx, func(ctx context.Context) { resp, err = method(client, ctx, r) })
	if err != nil {
		return nil, &CallError{Daemon: daemon, Err: err}
	}
	return resp.Msg, nil
}

// Heartbeat sends a heartbeat to the daemon and returns its reply.
func (c *Client) Heartbeat(ctx context.Context, to ident.DaemonID, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Heartbeat)
}

// Tell sends a digest or notices to the daemon at once, between heartbeats.
func (c *Client) Tell(ctx context.Context, to ident.DaemonID, req *wire.TellRequest) (*wire.TellResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Tell)
}

// Burn returns the daemon's counts of service-level indicators.
func (c *Client) Burn(ctx context.Context, to ident.DaemonID) (*wire.BurnResponse, error) {
	return call(ctx, c, to, &wire.BurnRequest{}, wire.PeerServiceClient.Burn)
}

// Relay returns records of the control stream that the daemon has applied.
func (c *Client) Relay(ctx context.Context, to ident.DaemonID, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Relay)
}

// Grant requests rate-limit tokens from the daemon.
func (c *Client) Grant(ctx context.Context, to ident.DaemonID, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Grant)
}

// Claim requests the right to run a caller's request, which is given at most once.
func (c *Client) Claim(ctx context.Context, to ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Claim)
}

// Finish sends the response to a claimed request to the daemon.
func (c *Client) Finish(ctx context.Context, to ident.DaemonID, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Finish)
}

// Backup copies claims that are not in the log yet to the daemon.
func (c *Client) Backup(ctx context.Context, to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error) {
	return call(ctx, c, to, req, wire.PeerServiceClient.Backup)
}

// Snapshot reads the whole state of the daemon and calls onChunk for each chunk, in order. It returns an error of onChunk
// unchanged.
func (c *Client) Snapshot(ctx context.Context, to ident.DaemonID, req *wire.SnapshotRequest, onChunk func(*wire.SnapshotChunk) error) error {
	client, err := c.client(to)
	if err != nil {
		return err
	}
	r := connect.NewRequest(req)
	secure.AddToken(r.Header(), c.Token)
	stream, err := client.Snapshot(ctx, r)
	if err != nil {
		return &CallError{Daemon: to, Err: err}
	}
	defer stream.Close()
	for stream.Receive() {
		meter.CountReceived(stream.Msg())
		if err := onChunk(stream.Msg()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return &CallError{Daemon: to, Err: err}
	}
	return nil
}
