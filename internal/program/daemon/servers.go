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

func (p *parts) buildServers(c *credentials) {
	callers := &caller.Server{
		Daemon:  p.settings.DaemonID,
		Service: p.service,
		Locate:  p.locate,
		Plain: caller.PlainProxy{
			Client: p.plain,
			Picker: func(r *config.Route) plain.Picker { return &plainPicker{health: p.router.Health, route: r} },
		},
		MaxBodyBytes:    p.settings.Limits.BodyBytes,
		HeaderTimeout:   milliseconds(p.settings.Limits.HeaderTimeoutMs),
		BodyTimeout:     milliseconds(p.settings.Limits.BodyTimeoutMs),
		IdleTimeout:     milliseconds(p.settings.Limits.IdleTimeoutMs),
		WriteTimeout:    milliseconds(p.settings.Limits.WriteTimeoutMs),
		MaxOpenRequests: int64(p.settings.Limits.MaxStreams),
	}
	operators := &admin.Server{
		State:             p.follower.State,
		Writer:            changes{p.writer},
		Progress:          p.progress,
		Status:            func() any { return p.status() },
		Burn:              func() any { return p.burnReport() },
		StatusPage:        func() any { return p.update() },
		Records:           p.records,
		Ready:             p.ready,
		BootstrapOperator: bootstrap(p.settings.BootstrapOperator),
	}
	p.callers = callers.HTTPServer(serverTLS(c.callers, false))
	p.admin = operators.HTTPServer(serverTLS(c.admin, false))
	p.peers = peer.NewServer(peer.Handler(p.handlers(), p.calls.Token), serverTLS(c.peers, true))
}

// serverTLS returns the configuration of a listener, nil without a certificate.
func serverTLS(r *secure.CertReloader, mutual bool) *tls.Config {
	if r == nil {
		return nil
	}
	return r.Server(mutual)
}

// handlers answer the calls of other daemons.
func (p *parts) handlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
			return p.fleet.HandleHeartbeat(r)
		},
		Tell: func(_ context.Context, r *wire.TellRequest) (*wire.TellResponse, error) {
			if r.GetDigest() != nil {
				p.learn(r.GetDigest())
			}
			for _, n := range r.GetNotices() {
				p.router.ApplyNotice(n)
			}
			return &wire.TellResponse{}, nil
		},
		Burn: func(context.Context, *wire.BurnRequest) (*wire.BurnResponse, error) {
			return &wire.BurnResponse{Series: burn.Encode(p.burn.Counts())}, nil
		},
		Relay: func(_ context.Context, r *wire.RelayRequest) (*wire.RelayResponse, error) {
			return p.follower.HandleRelay(r), nil
		},
		Snapshot: func(_ context.Context, _ *wire.SnapshotRequest, send func(*wire.SnapshotChunk) error) error {
			for _, chunk := range p.follower.HandleSnapshot() {
				if err := send(&wire.SnapshotChunk{Checkpoint: chunk}); err != nil {
					return err
				}
			}
			warm := p.newDigest()
			p.router.Snapshot(warm)
			return send(&wire.SnapshotChunk{Digest: warm})
		},
		Grant: func(ctx context.Context, r *wire.GrantRequest) (*wire.GrantResponse, error) {
			return p.limiter.HandleGrant(ctx, r), nil
		},
		Claim: func(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			return p.claimer.HandleClaim(ctx, r), nil
		},
		Finish: func(ctx context.Context, r *wire.FinishRequest) (*wire.FinishResponse, error) {
			return p.claimer.HandleFinish(ctx, r), nil
		},
		Backup: func(ctx context.Context, r *wire.BackupRequest) (*wire.BackupResponse, error) {
			return p.claimer.HandleBackup(ctx, r), nil
		},
	}
}

// snapshots collects the chunks of other daemons' snapshots.
type snapshots struct {
	*peer.Client
	// warm keeps what the other daemon knows of the engines.
	warm *atomic.Pointer[wire.Digest]
}

// Snapshot implements replay.Peers.
func (s snapshots) Snapshot(ctx context.Context, daemon ident.DaemonID) ([]*wire.CheckpointChunk, error) {
	var chunks []*wire.CheckpointChunk
	err := s.Client.Snapshot(ctx, daemon, &wire.SnapshotRequest{}, func(c *wire.SnapshotChunk) error {
		if c.GetDigest() != nil {
			s.warm.Store(c.GetDigest())
		}
		if c.GetCheckpoint() != nil {
			chunks = append(chunks, c.GetCheckpoint())
		}
		return nil
	})
	return chunks, err
}

// locate returns the daemons that a caller shall use: those that answer and are not leaving, best first.
func (p *parts) locate(cred serve.Credentials) (caller.Location, error) {
	members, err := p.service.Locate(cred)
	if err != nil {
		return caller.Location{}, err
	}
	loc := caller.Location{TTLMs: p.settings.Drain.LocateTTLMs}
	view := p.fleet.View()
	for _, m := range members {
		if isLive(view, m.ID) {
			loc.Addresses = append(loc.Addresses, caller.Address{Address: m.CallerAddress, FailureDomain: m.FailureDomain})
		}
	}
	if len(loc.Addresses) == 0 {
		own := p.fleet.Self
		loc.Addresses = []caller.Address{{Address: own.CallerAddress, FailureDomain: own.FailureDomain}}
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

func bootstrap(b *setup.BootstrapOperator) *config.Operator {
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
