// Package logsvc is a stand-in for the platform's log service: append-only streams in memory with offsets,
// a limited rate of appends, limited retention and the faults that the real service shows.
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

// Service is the stand-in. It implements extern.Log itself, for tests without sockets, and serves the same over
// HTTP. Set the exported fields before the first call.
type Service struct {
	// AppendsPerSecond is the number of appends that any second takes over all streams; 0 is 500.
	AppendsPerSecond int
	// MaxAge is how long records are kept; 0 is for ever.
	MaxAge time.Duration
	// MaxRecords is how many records a stream keeps; 0 is all.
	MaxRecords int
	// Seed makes the choice of lost and late appends repeatable.
	Seed uint64
	// Address is where Start listens; empty is a free loopback port.
	Address string

	// switching keeps the server's state in step with the faults.
	switching sync.Mutex

	mu      sync.Mutex
	streams map[extern.Stream]*stream
	recent  []time.Time
	next    int
	faults  Faults
	changed chan struct{}
	random  *rand.Rand
	late    map[*time.Timer]struct{}
	stats   Stats
	server  *httpd.Server
}

// Stats counts what the stand-in has seen.
type Stats struct {
	Appends     int `json:"appends"`
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	LostAnswers int `json:"lostAnswers"`
	Late        int `json:"late"`
	Reads       int `json:"reads"`
	Expired     int `json:"expired"`
	// FaultChanges counts the changes of faults that have taken effect.
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
	if err := s.admit(ctx, name); err != nil {
		return 0, err
	}
	p := s.plan()
	if p.refused {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: name, Err: &RateError{AppendsPerSecond: s.rate()}}
	}
	offset := make(chan ident.Offset, 1)
	s.after(p.effectAfter, func() { offset <- s.store(name, payload) })
	if p.lost {
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: &LostError{}}
	}
	if err := sleep(ctx, p.answerAfter); err != nil {
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
	if err := s.admit(ctx, name); err != nil {
		return extern.LogBatch{}, err
	}
	batch, err := s.read(name, from, limit)
	if err != nil {
		return extern.LogBatch{}, err
	}
	if err := sleep(ctx, s.delay()); err != nil {
		return extern.LogBatch{}, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: err}
	}
	return batch, nil
}

// Close drops the appends that have not taken effect yet and stops the server.
func (s *Service) Close() error {
	s.mu.Lock()
	server := s.server
	for timer := range s.late {
		timer.Stop()
	}
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

func (s *Service) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Delay
}

// after runs f at once or, without waiting for it, after d.
func (s *Service) after(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil {
		s.late = map[*time.Timer]struct{}{}
	}
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		s.mu.Lock()
		delete(s.late, timer)
		s.mu.Unlock()
		f()
	})
	s.late[timer] = struct{}{}
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
