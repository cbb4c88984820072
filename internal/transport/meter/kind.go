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
	KindHeartbeat Kind = "heartbeat"
	KindDigest    Kind = "digest"
	KindNotice    Kind = "notice"
	KindBurn      Kind = "burn"
	KindRelay     Kind = "relay"
	KindSnapshot  Kind = "snapshot"
	KindGrant     Kind = "grant"
	KindClaim     Kind = "claim"
	KindFinish    Kind = "finish"
	KindBackup    Kind = "backup"
	KindOther     Kind = "other"
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return []Kind{KindHeartbeat, KindDigest, KindNotice, KindBurn, KindRelay, KindSnapshot, KindGrant, KindClaim, KindFinish, KindBackup, KindOther}
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
func (k Kind) Bytes() ByteCount { return byKind[k].count() }

// Messages returns the number of messages of the kind that were sent; answers count as well.
func (k Kind) Messages() uint64 { return byKind[k].messages.Get() }

// CountSent counts a message that is sent.
func CountSent(message any) {
	kind, size, digest := measure(message)
	byKind[kind].sent.Add(size - digest)
	byKind[kind].messages.Inc()
	byKind[KindDigest].sent.Add(digest)
}

// CountReceived counts a message that was received.
func CountReceived(message any) {
	kind, size, digest := measure(message)
	byKind[kind].received.Add(size - digest)
	byKind[KindDigest].received.Add(digest)
}

// measure returns the kind of a message, its size in bytes and the part of it that is a digest.
func measure(message any) (kind Kind, size, digest int) {
	m, ok := message.(proto.Message)
	if !ok {
		return KindOther, 0, 0
	}
	size = proto.Size(m)
	switch m := m.(type) {
	case *wire.HeartbeatRequest:
		return KindHeartbeat, size, proto.Size(m.GetDigest())
	case *wire.HeartbeatResponse:
		return KindHeartbeat, size, 0
	case *wire.TellRequest:
		return KindNotice, size, proto.Size(m.GetDigest())
	case *wire.TellResponse:
		return KindNotice, size, 0
	case *wire.BurnRequest, *wire.BurnResponse:
		return KindBurn, size, 0
	case *wire.RelayRequest, *wire.RelayResponse:
		return KindRelay, size, 0
	case *wire.SnapshotRequest, *wire.SnapshotChunk:
		return KindSnapshot, size, 0
	case *wire.GrantRequest, *wire.GrantResponse:
		return KindGrant, size, 0
	case *wire.ClaimRequest, *wire.ClaimResponse:
		return KindClaim, size, 0
	case *wire.FinishRequest, *wire.FinishResponse:
		return KindFinish, size, 0
	case *wire.BackupRequest, *wire.BackupResponse:
		return KindBackup, size, 0
	default:
		return KindOther, size, 0
	}
}
