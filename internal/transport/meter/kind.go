package meter

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Kind is a kind of message between daemons.
type Kind string

// Kinds. Digest and Notice travel in heartbeats and in messages of their own.
const (
	Heartbeat Kind = "heartbeat"
	Digest    Kind = "digest"
	Notice    Kind = "notice"
	Burn      Kind = "burn"
	Relay     Kind = "relay"
	Snapshot  Kind = "snapshot"
	Grant     Kind = "grant"
	Claim     Kind = "claim"
	Finish    Kind = "finish"
	Backup    Kind = "backup"
	Other     Kind = "other"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{Heartbeat, Digest, Notice, Burn, Relay, Snapshot, Grant, Claim, Finish, Backup, Other}
}

// kindCounters count the bytes of the messages of a kind, without headers, and the messages.
type kindCounters struct {
	counters
	messages *metrics.Counter
}

var byKind = func() map[Kind]kindCounters {
	m := map[Kind]kindCounters{}
	for _, k := range Kinds() {
		m[k] = kindCounters{
			counters: newCounters("gooseberrywayMessageBytes", "kind", string(k)),
			messages: metrics.GetOrCreateCounter(`gooseberrywayMessagesSent{kind="` + string(k) + `"}`),
		}
	}
	return m
}()

// Bytes returns the bytes of the messages of the kind.
func (k Kind) Bytes() Count { return byKind[k].count() }

// Messages returns the number of messages of the kind that were sent; answers count as well.
func (k Kind) Messages() uint64 { return byKind[k].messages.Get() }

// Sent counts a message that is sent.
func Sent(message any) {
	kind, size, digest := measure(message)
	byKind[kind].sent.Add(size - digest)
	byKind[kind].messages.Inc()
	byKind[Digest].sent.Add(digest)
}

// Received counts a message that was received.
func Received(message any) {
	kind, size, digest := measure(message)
	byKind[kind].received.Add(size - digest)
	byKind[Digest].received.Add(digest)
}

// measure returns the kind of a message, its size in bytes and the part of it that is a digest.
func measure(message any) (kind Kind, size, digest int) {
	m, ok := message.(proto.Message)
	if !ok {
		return Other, 0, 0
	}
	size = proto.Size(m)
	switch m := m.(type) {
	case *wire.HeartbeatRequest:
		return Heartbeat, size, proto.Size(m.GetDigest())
	case *wire.HeartbeatResponse:
		return Heartbeat, size, 0
	case *wire.TellRequest:
		return Notice, size, proto.Size(m.GetDigest())
	case *wire.TellResponse:
		return Notice, size, 0
	case *wire.BurnRequest, *wire.BurnResponse:
		return Burn, size, 0
	case *wire.RelayRequest, *wire.RelayResponse:
		return Relay, size, 0
	case *wire.SnapshotRequest, *wire.SnapshotChunk:
		return Snapshot, size, 0
	case *wire.GrantRequest, *wire.GrantResponse:
		return Grant, size, 0
	case *wire.ClaimRequest, *wire.ClaimResponse:
		return Claim, size, 0
	case *wire.FinishRequest, *wire.FinishResponse:
		return Finish, size, 0
	case *wire.BackupRequest, *wire.BackupResponse:
		return Backup, size, 0
	default:
		return Other, size, 0
	}
}
