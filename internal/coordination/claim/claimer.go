// Package claim lets a request with an idempotency key run at most once. Before dispatch the key is claimed at the
// owner of the key's slice, which answers only when the claim is in the log service or, in an outage of the log
// service, copied to the backup of the slice.
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

// Slice numbers a part of the idempotency keys.
type Slice uint32

// SliceOf returns the slice of a key.
func SliceOf(org ident.OrganisationID, keyDigest ident.Digest) Slice {
	return Slice((xxhash.Sum64String(string(org)) ^ binary.LittleEndian.Uint64(keyDigest[:8])) % Slices)
}

// Ownership says who decides the claims of a slice.
type Ownership struct {
	// Owner is empty while no ownership is in force. A daemon that loses a slice must see that as soon as it has applied
	// the record that takes it away.
	Owner ident.DaemonID
	// Backup keeps copies of claims that are not logged; empty when there is no other daemon.
	Backup ident.DaemonID
	// Epoch is the offset of the control record that made the owner the owner, in its present incarnation.
	Epoch        ident.Offset
	InForceSince time.Time
}

// Peers sends messages to other daemons. An error says that the message may have been handled or not.
type Peers interface {
	Claim(ctx context.Context, to ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Finish(ctx context.Context, to ident.DaemonID, req *wire.FinishRequest) (*wire.FinishResponse, error)
	Backup(ctx context.Context, to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error)
}

// Claimer claims keys for one daemon and decides the claims of the slices that it owns. Set the exported fields, then
// Run; Close ends it.
type Claimer struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	Log         extern.Log
	Peers       Peers
	// Owner returns the ownership of a slice in this daemon's view.
	Owner func(s Slice) Ownership
	// HoldsLease tells whether this daemon holds its serving lease; nil means always.
	HoldsLease func() bool
	// Retention is how long a claimed key is remembered; DefaultWindow when 0. It must be longer than any request runs,
	// and the log service must keep records for twice as long.
	Retention time.Duration
	// Linger is how long a claim waits for others to share its append; 2 ms when 0.
	Linger time.Duration
	// MaxAnswerBytes bounds one kept answer, MaxKeptBytes all of them; 64 KB and 16 MB when 0.
	MaxAnswerBytes, MaxTotalAnswerBytes int

	start sync.Once
	life  scope.Scope

	slices  [Slices]slice
	writer  writer
	covers  covers
	answers answers
	tail    tail
}

// Run owns slices and writes claims until the context ends or Close is called.
func (c *Claimer) Run(ctx context.Context) {
	c.init()
	for _, f := range []func(){c.write, c.copyDue, c.own, c.sample} {
		c.life.Go(f)
	}
	select {
	case <-ctx.Done():
	case <-c.life.Context().Done():
	}
}

// Close returns when everything that the claimer started has ended.
func (c *Claimer) Close() { c.life.Close() }

func (c *Claimer) init() {
	c.start.Do(func() {
		c.writer.wake = make(chan struct{}, 1)
		c.writer.added = make(chan struct{}, 1)
	})
}

// sleep waits; false when the claimer is closed meanwhile.
func (c *Claimer) sleep(d time.Duration) bool { return scope.Sleep(c.life.Context(), d) }

func (c *Claimer) serving() bool {
	return c.HoldsLease == nil || c.HoldsLease()
}

func (c *Claimer) window() time.Duration {
	return orDefault(c.Retention, DefaultRetention)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
