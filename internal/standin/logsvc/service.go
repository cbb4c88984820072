// Package logsvc is a stand-in for the platform's log service. It keeps append-only streams with offsets in memory,
// limits the rate of appends and the retention of records, and injects the faults that the real service can have.
package logsvc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Service is the stand-in. It implements extern.Log, for tests without sockets, and serves the same operations over
// HTTP. Set the exported fields before the first call.
type Service struct {
	// AppendsPerSecond is the largest number of appends, over all streams, that are accepted within any second;
	// 0 means 500.
	AppendsPerSecond int
	// MaxAge is how long records are kept; 0 means without limit. The newest record of a stream never expires.
	MaxAge time.Duration
	// MaxRecords is the number of records that a stream keeps; 0 means all.
	MaxRecords int
	// Seed makes the choice of appends that are late or lose their response repeatable.
	Seed uint64
	// Address is the TCP address on which Start listens; empty means a free port of 127.0.0.1.
	Address string

	// setFaultsMu serialises SetFaults, so that the server listens or not as the latest faults say.
	setFaultsMu sync.Mutex

	mu      sync.Mutex
	streams map[extern.Stream]*stream
	// appendTimes is a ring of the times of the last accepted appends, at most AppendsPerSecond of them;
	// oldestAppend is the index of the oldest once the ring is full.
	appendTimes  []time.Time
	oldestAppend int
	faults       Faults
	// faultsChanged closes when the faults change; nil if no call has asked for it since the last change.
	faultsChanged chan struct{}
	random        *rand.Rand
	// pending holds the timers of delayed appends and of the end of faults.
	pending map[*time.Timer]struct{}
	stats   Stats
	server  *httpd.Server
}

// Stats counts calls and injected faults.
type Stats struct {
	// Appends counts appends that took effect.
	Appends int `json:"appends"`
	// Refused counts appends beyond the rate limit.
	Refused int `json:"refused"`
	// Failed counts calls that met an outage.
	Failed int `json:"failed"`
	// LostResponses and Late count appends with these faults.
	LostResponses int `json:"lostAnswers"`
	Late          int `json:"late"`
	Reads         int `json:"reads"`
	// Expired counts reads from an offset whose record has expired.
	Expired int `json:"expired"`
	// FaultChanges counts the calls of SetFaults that have taken effect.
	FaultChanges int `json:"switches"`
}

var _ extern.Log = (*Service)(nil)

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append implements extern.Log.
func (s *Service) Append(ctx context.Context, name extern.Stream, payload []byte) (ident.Offset, error) {
	if err := s.checkOutage(ctx, name); err != nil {
		return 0, err
	}
	p := s.planAppend()
	if p.rateLimited {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: name, Err: &RateError{AppendsPerSecond: s.appendRate()}}
	}
	offset := make(chan ident.Offset, 1)
	s.runAfter(p.effectDelay, func() { offset <- s.store(name, payload) })
	if p.responseLost {
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: &ResponseLostError{}}
	}
	if err := sleep(ctx, p.responseDelay); err != nil {
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: err}
	}
	select {
	case o := <-offset:
		return o, nil
	case <-ctx.Done():
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: ctx.Err()}
	}
}

// Read implements extern.Log.
func (s *Service) Read(ctx context.Context, name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	if err := s.checkOutage(ctx, name); err != nil {
		return extern.LogBatch{}, err
	}
	batch, err := s.read(name, from, limit)
	if err != nil {
		return extern.LogBatch{}, err
	}
	if err := sleep(ctx, s.callDelay()); err != nil {
		return extern.LogBatch{}, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: err}
	}
	return batch, nil
}

// Close cancels the appends that have not taken effect yet and stops the server.
func (s *Service) Close() error {
	s.mu.Lock()
	server := s.server
	for timer := range s.pending {
		timer.Stop()
	}
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

func (s *Service) callDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Delay
}

// runAfter calls f at once if d is not positive. Otherwise it returns at once and f runs after d, unless Close comes
// first.
func (s *Service) runAfter(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[*time.Timer]struct{}{}
	}
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		s.mu.Lock()
		delete(s.pending, timer)
		s.mu.Unlock()
		f()
	})
	s.pending[timer] = struct{}{}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
