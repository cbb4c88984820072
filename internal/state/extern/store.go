package extern

import (
	"context"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Topic is a log of the platform's store that keeps the newest record of each key for good.
type Topic string

// Topics of the store.
const (
	// TopicOperators holds what operators write: the configuration, versions of weights, rollouts.
	TopicOperators Topic = "operators"
	// TopicUpstreams holds the registrations of upstreams.
	TopicUpstreams Topic = "upstreams"
	// TopicStatus holds what operators read.
	TopicStatus Topic = "status"
	// TopicMembers holds the addresses of daemons.
	TopicMembers Topic = "members"
	// TopicLeaders holds who performs a duty, and since when.
	TopicLeaders Topic = "duties"
)

// KeyedRecord is the record of a key. A record without a value removes the key.
type KeyedRecord struct {
	Offset ident.Offset
	Key    string
	Value  []byte
	// SeenAt is when the first daemon on the record's way here learned of it; zero for one that comes from the store itself.
	SeenAt time.Time
}

// StoreBatch is the answer to a read.
type StoreBatch struct {
	Records []KeyedRecord
	// Next is the offset to read on from.
	Next ident.Offset
}

// Store is the platform's store. Its answers are linearizable and it loses nothing that it has confirmed.
type Store interface {
	// Newest returns the newest record of each key. The error is a *StoreError.
	Newest(ctx context.Context, topic Topic) (StoreBatch, error)
	// Read returns records from the offset on and waits so long for the first. The error is a *StoreError.
	Read(ctx context.Context, topic Topic, from ident.Offset, wait time.Duration) (StoreBatch, error)
	// Put writes a record and returns its offset. If end is not nil the topic has to end there.
	// The error is a *StoreError; unless its kind tells otherwise the record may be written all the same, also later.
	Put(ctx context.Context, topic Topic, key string, value []byte, end *ident.Offset) (ident.Offset, error)
}

// StoreErrorKind classifies failures of the store.
type StoreErrorKind string

// Kinds of failures.
const (
	// StoreRefused: the call had no effect.
	StoreRefused StoreErrorKind = "refused"
	// StoreConflict: the topic doesn't end at the given offset.
	StoreConflict StoreErrorKind = "conflict"
	// StoreExpired: the records asked for are gone.
	StoreExpired StoreErrorKind = "expired"
	// StoreUnknown: the answer was lost; a write may take effect.
	StoreUnknown StoreErrorKind = "unknown"
)

// StoreError is a failed call to the platform's store.
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

// Decoder reads the records of operators and upstreams.
type Decoder interface {
	Decode(topic Topic, r KeyedRecord) view.Change
}

// WeightsOrder tells an engine to load a version of a model.
type WeightsOrder struct {
	Model   ident.ModelID
	Version int64
	// Leader and Fence name the daemon that performs the duty and the number of its term.
	Leader       ident.DaemonID
	FencingToken ident.Offset
	// FinishRunning lets running requests finish first; otherwise they go on under the new weights.
	FinishRunning bool
	// AcceptedOrders is the number of orders that the engine has accepted since its start: an order that is carried out late,
	// after others, then does nothing.
	AcceptedOrders int64
}

// OrderResult is what an engine says of an order.
type OrderResult string

// Results of an order.
const (
	// OrderAccepted: the engine carries it out.
	OrderAccepted OrderResult = "accepted"
	// OrderAlreadyLoaded: the engine has that version already.
	OrderAlreadyLoaded OrderResult = "holds"
	// OrderBusy: another order is in progress, or the number of accepted orders differs.
	OrderBusy OrderResult = "busy"
	// OrderFenced: the engine has seen a higher fencing number.
	OrderFenced OrderResult = "fenced"
	// OrderMisdirected: another upstream has the address.
	OrderMisdirected OrderResult = "misdirected"
	// OrderRejected: the engine knows no such order.
	OrderRejected OrderResult = "rejected"
)

// EngineReport is what an engine says of itself when asked.
type EngineReport struct {
	// Busy says that the engine carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the engine's start.
	AcceptedOrders int64
	WeightVersions map[ident.ModelID]int64
	Waiting        int
	Running        int
}

// EngineControl gives orders to engines and asks how they are.
type EngineControl interface {
	// Load gives the order. An error means that the engine may have accepted it, also later.
	Load(ctx context.Context, to *view.Upstream, o WeightsOrder) (OrderResult, error)
	// Report asks an engine how it is.
	Report(ctx context.Context, of *view.Upstream) (EngineReport, error)
}

// CachePart is a change of what an engine or a KV cache store keeps.
type CachePart struct {
	Salt, ID string
	// Tokens is how much of the part is kept now; 0 for none.
	Tokens ident.Tokens
}

// CacheChanges is the answer to a read of cache events.
type CacheChanges struct {
	Incarnation ident.Incarnation
	// Next is the position to read on from.
	Next ident.Sequence
	// EventsLost says that events before these are missing.
	EventsLost bool
	Parts      []CachePart
}

// CacheFeed reads what engines and KV cache stores keep.
type CacheFeed interface {
	// Changes returns the events since a position and waits so long for the first.
	Changes(ctx context.Context, address string, since ident.Sequence, wait time.Duration) (CacheChanges, error)
	// Snapshot returns what is kept now. The call holds up the work of an engine.
	Snapshot(ctx context.Context, address string) (CacheChanges, error)
}
