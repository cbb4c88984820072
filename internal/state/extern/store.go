package extern

import (
	"context"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Topic is a compacted log of the platform store: it retains the newest record of each key indefinitely.
type Topic string

// Topics of the platform store.
const (
	// TopicOperators holds records that operators write: the configuration, weight versions and rollouts.
	TopicOperators Topic = "operators"
	// TopicUpstreams holds the registrations of upstreams.
	TopicUpstreams Topic = "upstreams"
	// TopicStatus holds the status that daemons publish for operators.
	TopicStatus Topic = "status"
	// TopicRollouts holds how far daemons have taken the rollouts that operators requested.
	TopicRollouts Topic = "rollouts"
	// TopicMembers holds the addresses of daemons.
	TopicMembers Topic = "members"
	// TopicQuarantines holds the prompt parts that are quarantined.
	TopicQuarantines Topic = "quarantines"
	// TopicLeaders holds the elected leader of each task and its term.
	TopicLeaders Topic = "duties"
)

// KeyedRecord is a record of a key. A record without a value deletes the key.
type KeyedRecord struct {
	Offset ident.Offset
	Key    string
	Value  []byte
	// SeenAt is when the first daemon that passed the record on learned of it; zero if the record was read from the store.
	SeenAt time.Time
}

// StoreBatch is the response to a read.
type StoreBatch struct {
	Records []KeyedRecord
	// Next is the offset at which the next read starts.
	Next ident.Offset
	// Unreadable is the number of records that can't be read and are left out.
	Unreadable int
}

// Store is the platform store. Its operations are linearizable. It loses acknowledged writes only when it returns from an older
// copy, which begins a new era; offsets of different eras differ.
type Store interface {
	// Newest returns the newest record of each key. The error is a *StoreError.
	Newest(ctx context.Context, topic Topic) (StoreBatch, error)
	// Read returns records from the offset on and waits up to the given time for the first. The error is a *StoreError.
	Read(ctx context.Context, topic Topic, from ident.Offset, wait time.Duration) (StoreBatch, error)
	// Put writes a record and returns its offset. If end is not nil, the record is written only if the topic ends at that
	// offset, in its era. The error is a *StoreError; if its kind is StoreUnknown the record may have been written or may be written later.
	Put(ctx context.Context, topic Topic, key string, value []byte, end *ident.Offset) (ident.Offset, error)
}

// StoreErrorKind classifies failed calls to the platform store.
type StoreErrorKind string

// Kinds of failed calls to the platform store.
const (
	// StoreRefused: the call had no effect.
	StoreRefused StoreErrorKind = "refused"
	// StoreConflict: the topic doesn't end at the given offset; nothing was written.
	StoreConflict StoreErrorKind = "conflict"
	// StoreExpired: the requested records are no longer retained, or belong to an earlier era.
	StoreExpired StoreErrorKind = "expired"
	// StoreUnknown: the response was lost; a write may have taken effect or may still do so.
	StoreUnknown StoreErrorKind = "unknown"
)

// StoreError is a failed call to the platform store.
type StoreError struct {
	Kind  StoreErrorKind
	Topic Topic
	Err   error
}

func (e *StoreError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store topic %s: %s", e.Topic, e.Kind)
	}
	return fmt.Sprintf("store topic %s: %s: %v", e.Topic, e.Kind, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// Decoder decodes the records of the operators and upstreams topics.
type Decoder interface {
	Decode(topic Topic, r KeyedRecord) view.Change
}

// StatusCodec encodes and decodes the records of the status topic.
type StatusCodec interface {
	EncodeRollout(s view.RolloutStatus) (key string, value []byte, err error)
	// DecodeRollout returns false for a record that describes no rollout.
	DecodeRollout(r KeyedRecord) (view.RolloutStatus, bool)
}

// WeightsOrder is an order to an engine to load a version of a model's weights.
type WeightsOrder struct {
	Model   ident.ModelID
	Version int64
	// Leader is the daemon that leads the rolling update and FencingToken the number of its term.
	Leader       ident.DaemonID
	FencingToken ident.Offset
	// FinishRunning lets running requests finish before the load; otherwise they continue with the new weights.
	FinishRunning bool
	// AcceptedOrders is the number of orders that the engine has accepted since its start. The engine refuses the order if the
	// number differs, so that an order that arrives late, after others, has no effect.
	AcceptedOrders int64
}

// OrderResult is an engine's response to an order.
type OrderResult string

// Order results.
const (
	// OrderAccepted: the engine executes the order.
	OrderAccepted OrderResult = "accepted"
	// OrderAlreadyLoaded: the engine has loaded that version already.
	OrderAlreadyLoaded OrderResult = "holds"
	// OrderBusy: another order is in progress, or the number of accepted orders differs.
	OrderBusy OrderResult = "busy"
	// OrderFenced: the engine has seen a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderMisdirected: the address belongs to another upstream.
	OrderMisdirected OrderResult = "misdirected"
	// OrderRejected: the engine doesn't support the order.
	OrderRejected OrderResult = "rejected"
)

// EngineReport is the state that an engine reports on request.
type EngineReport struct {
	// Busy says that the engine is executing an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the engine's start.
	AcceptedOrders  int64
	WeightVersions  map[ident.ModelID]int64
	WaitingRequests int
	RunningRequests int
}

// EngineControl sends orders to engines and requests their state.
type EngineControl interface {
	// Load sends the order. After an error the engine may have accepted the order or may still do so.
	Load(ctx context.Context, to *view.Upstream, o WeightsOrder) (OrderResult, error)
	// Report requests the state of an engine.
	Report(ctx context.Context, of *view.Upstream) (EngineReport, error)
}

// CachePart is a prompt part in the cache of an engine or a KV cache store, or a change of one.
type CachePart struct {
	Salt, ID string
	// Tokens is the number of the part's tokens that are cached now; 0 if the part was removed.
	Tokens ident.Tokens
}

// CacheChanges is the response to a read of cache events.
type CacheChanges struct {
	Incarnation ident.Incarnation
	// Next is the position at which the next read starts.
	Next ident.Sequence
	// EventsLost says that events before these are missing, so that the whole list must be read again.
	EventsLost bool
	Parts      []CachePart
	// Unreadable is the number of entries that can't be read and are left out.
	Unreadable int
}

// CacheFeed reads the cache contents of engines and KV cache stores.
type CacheFeed interface {
	// Changes returns the events since a position and waits up to the given time for the first.
	Changes(ctx context.Context, address string, since ident.Sequence, wait time.Duration) (CacheChanges, error)
	// Snapshot returns all parts that are cached now. The call delays the engine's other work.
	Snapshot(ctx context.Context, address string) (CacheChanges, error)
}
