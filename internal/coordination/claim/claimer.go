// Package claim lets a request with an idempotency key run at most once. Keys are divided into slices, and each slice
// has one daemon as its owner. Before a request is dispatched, its key is claimed at the owner, which grants the
// claim only when it is durable: appended to the log service or, during an outage of the log service, copied to the
// slice's backup daemon. A new owner of a slice recovers its claims from the log, the former owner and the former
// backup.
package claim

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Slice is the number of a slice of the idempotency keys, from 0 to Slices-1.
type Slice uint32

// SliceOf returns the slice of an organisation's key.
func SliceOf(org ident.OrganisationID, keyDigest ident.Digest) Slice {
	return Slice((xxhash.Sum64String(string(org)) ^ binary.LittleEndian.Uint64(keyDigest[:8])) % Slices)
}

// Ownership is the assignment of a slice to an owner and a backup.
type Ownership struct {
	// Owner decides the claims of the slice; empty while no ownership is in force. A daemon that loses a slice must
	// see the change as soon as it has applied the record that takes the slice away.
	Owner ident.DaemonID
	// Backup keeps copies of claims that are not logged; empty when there is no other daemon.
	Backup ident.DaemonID
	// Epoch is the offset of the control record that made Owner the owner, in its present incarnation.
	Epoch        ident.Offset
	InForceSince time.Time
}

// Peers sends messages to other daemons. After an error the message may or may not have been handled.
type Peers interface {
	Claim(ctx context.Context, to ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Finish(ctx context.Context, to ident.DaemonID, req *wire.FinishRequest) (*wire.FinishResponse, error)
	Backup(ctx context.Context, to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error)
}

// Claimer claims keys for the requests of one daemon and decides the claims of the slices that this daemon owns. Set
// the exported fields before the call of Run; Close stops it.
type Claimer struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	Log         extern.Log
	Peers       Peers
	// Owner returns the ownership of a slice as this daemon knows it.
	Owner func(s Slice) Ownership
	// HoldsLease reports whether this daemon holds its serving lease; nil means always.
	HoldsLease func() bool
	// Retention is how long a claimed key is remembered; DefaultRetention when 0. It must be longer than any request
	// runs, and the log service must keep records for twice as long.
	Retention time.Duration
	// Linger is how long a claim waits for others to share its append; 2 ms when 0.
	Linger time.Duration
	// MaxAnswerBytes bounds one stored answer, MaxTotalAnswerBytes all of them together; 64 KiB and 16 MiB when 0.
	MaxAnswerBytes, MaxTotalAnswerBytes int

	initOnce sync.Once
	scope    scope.Scope

	slices      [Slices]slice
	writer      writer
	backupStore backupStore
	answers     answerCache
	tail        streamTail
}

// Run takes over slices, appends and copies claims until ctx ends or Close is called.
func (c *Claimer) Run(ctx context.Context) {
	c.init()
	for _, f := range []func(){c.appendLoop, c.copyLoop, c.ownershipLoop, c.sampleTailLoop} {
		c.scope.Go(f)
	}
	select {
	case <-ctx.Done():
	case <-c.scope.Context().Done():
	}
}

// Close stops all goroutines of the claimer and returns when they have ended.
func (c *Claimer) Close() { c.scope.Close() }

func (c *Claimer) init() {
	c.initOnce.Do(func() {
		c.writer.appendWake = make(chan struct{}, 1)
		c.writer.copyWake = make(chan struct{}, 1)
	})
}

// sleep waits for d; false when the claimer is closed meanwhile.
func (c *Claimer) sleep(d time.Duration) bool { return scope.Sleep(c.scope.Context(), d) }

func (c *Claimer) leaseHeld() bool {
	return c.HoldsLease == nil || c.HoldsLease()
}

func (c *Claimer) retention() time.Duration {
	return orDefault(c.Retention, DefaultRetention)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
