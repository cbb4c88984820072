package daemon

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/admin"
	"github.com/gooseberryway/gooseberryway/internal/transport/caller"
	"github.com/gooseberryway/gooseberryway/internal/transport/peer"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
	"github.com/gooseberryway/gooseberryway/internal/transport/secure"
)

// buildServers creates the servers for callers, operators and peers.
func (c *components) buildServers(certs *listenerCerts) {
	callerServer := &caller.Server{
		Daemon:  c.settings.DaemonID,
		Service: c.service,
		Locate:  c.locate,
		Plain: caller.PlainProxy{
			Client:    c.plainClient,
			NewPicker: func(r *config.Route) plain.Picker { return &plainPicker{health: c.router.Health, route: r} },
		},
		MaxBodyBytes:    c.settings.Limits.BodyBytes,
		HeaderTimeout:   milliseconds(c.settings.Limits.HeaderTimeoutMs),
		BodyTimeout:     milliseconds(c.settings.Limits.BodyTimeoutMs),
		IdleTimeout:     milliseconds(c.settings.Limits.IdleTimeoutMs),
		WriteTimeout:    milliseconds(c.settings.Limits.WriteTimeoutMs),
		MaxOpenRequests: int64(c.settings.Limits.MaxStreams),
	}
	adminServer := &admin.Server{
		State:             c.follower.State,
		Writer:            controlWriter{c.writer},
		Progress:          c.progress,
		Status:            func() any { return c.status() },
		Burn:              func() any { return c.burnReport() },
		StatusPage:        func() any { return c.statusPage() },
		Records:           c.controlRecords,
		Ready:             c.ready,
		UpdateMetrics:     c.gate.UpdateMetrics,
		BootstrapOperator: bootstrapOperator(c.settings.BootstrapOperator),
	}
	c.callers = callerServer.HTTPServer(serverTLS(certs.callers, false))
	c.admin = adminServer.HTTPServer(serverTLS(certs.admin, false))
	c.peers = peer.NewServer(peer.Handler(c.handlers(), c.peerClient.Token), serverTLS(certs.peers, true))
}

// serverTLS returns the TLS configuration of a listener, or nil without a certificate. If mutual is set, clients need a
// certificate too.
func serverTLS(r *secure.CertReloader, mutual bool) *tls.Config {
	if r == nil {
		return nil
	}
	return r.ServerConfig(mutual)
}

// handlers returns the handlers of the calls of peers.
func (c *components) handlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
			return c.membership.HandleHeartbeat(r)
		},
		Tell: func(_ context.Context, r *wire.TellRequest) (*wire.TellResponse, error) {
			if r.GetDigest() != nil {
				c.applyDigest(r.GetDigest())
			}
			for _, n := range r.GetNotices() {
				c.router.ApplyNotice(n)
			}
			return &wire.TellResponse{}, nil
		},
		Burn: func(context.Context, *wire.BurnRequest) (*wire.BurnResponse, error) {
			return &wire.BurnResponse{Series: burn.Encode(c.burn.Counts())}, nil
		},
		Relay: func(_ context.Context, r *wire.RelayRequest) (*wire.RelayResponse, error) {
			return c.follower.HandleRelay(r), nil
		},
		Snapshot: func(_ context.Context, _ *wire.SnapshotRequest, send func(*wire.SnapshotChunk) error) error {
			for _, chunk := range c.follower.HandleSnapshot() {
				if err := send(&wire.SnapshotChunk{Checkpoint: chunk}); err != nil {
					return err
				}
			}
			digest := c.newDigest()
			c.router.Snapshot(digest)
			return send(&wire.SnapshotChunk{Digest: digest})
		},
		Grant: func(ctx context.Context, r *wire.GrantRequest) (*wire.GrantResponse, error) {
			return c.limiter.HandleGrant(ctx, r), nil
		},
		Claim: func(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			return c.claimer.HandleClaim(ctx, r), nil
		},
		Finish: func(ctx context.Context, r *wire.FinishRequest) (*wire.FinishResponse, error) {
			return c.claimer.HandleFinish(ctx, r), nil
		},
		Backup: func(ctx context.Context, r *wire.BackupRequest) (*wire.BackupResponse, error) {
			return c.claimer.HandleBackup(ctx, r), nil
		},
	}
}

// snapshotClient implements replay.Peers: it collects the chunks of a peer's snapshot.
type snapshotClient struct {
	*peer.Client
	// warmDigest receives the peer's digest of the engines, with which the prefix index is warmed up.
	warmDigest *atomic.Pointer[wire.Digest]
}

// Snapshot implements replay.Peers.
func (s snapshotClient) Snapshot(ctx context.Context, daemon ident.DaemonID) ([]*wire.CheckpointChunk, error) {
	var chunks []*wire.CheckpointChunk
	err := s.Client.Snapshot(ctx, daemon, &wire.SnapshotRequest{}, func(c *wire.SnapshotChunk) error {
		if c.GetDigest() != nil {
			s.warmDigest.Store(c.GetDigest())
		}
		if c.GetCheckpoint() != nil {
			chunks = append(chunks, c.GetCheckpoint())
		}
		return nil
	})
	return chunks, err
}

// locate returns the addresses of the live daemons that a caller should use, in order of preference. If there are none, it
// returns the address of this daemon.
func (c *components) locate(cred serve.Credentials) (caller.Location, error) {
	members, err := c.service.Locate(cred)
	if err != nil {
		return caller.Location{}, err
	}
	loc := caller.Location{TTLMs: c.settings.Drain.LocateTTLMs}
	view := c.membership.View()
	for _, m := range members {
		if isLive(view, m.ID) {
			loc.Addresses = append(loc.Addresses, caller.Address{Address: m.CallerAddress, FailureDomain: m.FailureDomain})
		}
	}
	if len(loc.Addresses) == 0 {
		self := c.membership.Self
		loc.Addresses = []caller.Address{{Address: self.CallerAddress, FailureDomain: self.FailureDomain}}
	}
	return loc, nil
}

func isLive(view *member.View, id ident.DaemonID) bool {
	if view == nil {
		return false
	}
	peer, ok := view.Peer(id)
	return ok && peer.Live
}

// bootstrapOperator returns the operator of the settings file, who has the admin role on everything. It returns nil if there
// is none or its key digest is malformed.
func bootstrapOperator(b *setup.BootstrapOperator) *config.Operator {
	if b == nil {
		return nil
	}
	op := &config.Operator{ID: b.ID, Grants: []config.RoleGrant{{Subtree: "/", Role: config.RoleAdmin}}}
	raw, err := hex.DecodeString(b.KeyDigestSHA256)
	if err != nil || len(raw) != len(op.KeyDigest) {
		return nil
	}
	copy(op.KeyDigest[:], raw)
	return op
}
