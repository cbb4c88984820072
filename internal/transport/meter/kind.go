package meter

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Kind is the kind of a message between daemons.
type Kind string

// Kinds of messages. A digest inside a heartbeat or a notice is counted as KindDigest, the rest of the message as
// KindHeartbeat or KindNotice.
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

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindHeartbeat, KindDigest, KindNotice, KindBurn, KindRelay, KindSnapshot, KindGrant, KindClaim, KindFinish, KindBackup, KindOther}
}

// kindCounters count the messages of a kind and their encoded bytes, without headers.
type kindCounters struct {
	counters
	messages *metrics.Counter
}

var countersByKind = func() map[Kind]kindCounters {
	m := map[Kind]kindCounters{}
	for _, k := range Kinds() {
		m[k] = kindCounters{
			counters: newCounters("gooseberrywayMessageBytes", "kind", string(k)),
			messages: metrics.GetOrCreateCounter(`gooseberrywayMessagesSent{kind="` + string(k) + `"}`),
		}
	}
	return m
}()

// Bytes returns the encoded bytes of all messages of the kind, without headers.
func (k Kind) Bytes() ByteCount { return countersByKind[k].byteCount() }

// Messages returns the number of messages of the kind that were sent, responses included.
func (k Kind) Messages() uint64 { return countersByKind[k].messages.Get() }

// CountSent counts a message that is being sent.
func CountSent(message any) {
	kind, size, digestSize := measure(message)
	countersByKind[kind].sent.Add(size - digestSize)
	countersByKind[kind].messages.Inc()
	countersByKind[KindDigest].sent.Add(digestSize)
}

// CountReceived counts a message that was received.
func CountReceived(message any) {
	kind, size, digestSize := measure(message)
	countersByKind[kind].received.Add(size - digestSize)
	countersByKind[KindDigest].received.Add(digestSize)
}

// measure returns the kind of a message, its encoded size and how many bytes of it are a digest.
func measure(message any) (kind Kind, size, digestSize int) {
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
