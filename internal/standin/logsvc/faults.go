package logsvc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// Mode says whether the service works and, if not, how calls fail.
type Mode string

// Modes of the service.
const (
	// ModeUp serves calls normally, apart from the other faults.
	ModeUp Mode = "up"
	// ModeFailing fails every call without an effect, with an error from which the client can't tell that it had none.
	ModeFailing Mode = "failing"
	// ModeRefusing refuses connections.
	ModeRefusing Mode = "refusing"
	// ModeHanging holds calls without a response until the mode changes or the client gives up.
	ModeHanging Mode = "hanging"
)

// Faults are the faults that the service injects. The zero value injects none.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is added to each call; an append takes effect after half of it.
	Delay time.Duration `json:"delayNanos"`
	// LostResponses is the share of appends, from 0 to 1, that take effect but get no response.
	LostResponses float64 `json:"lostAnswers"`
	// Late is the share of appends, from 0 to 1, that get no response and take effect only after LateBy.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
}

// RateError is returned for an append that exceeds the rate limit of AppendsPerSecond.
type RateError struct {
	AppendsPerSecond int
}

func (e *RateError) Error() string {
	return fmt.Sprintf("more than %d appends in a second", e.AppendsPerSecond)
}

// OutageError is returned for a call during an outage.
type OutageError struct {
	Mode Mode
}

func (e *OutageError) Error() string { return fmt.Sprintf("the log service is %s", e.Mode) }

// ResponseLostError is returned for an append whose response was dropped; the append takes effect at once or late.
type ResponseLostError struct{}

func (e *ResponseLostError) Error() string { return "the response to the append was dropped" }

// SetFaults replaces the faults. A started server stops listening in ModeRefusing and listens again in the other
// modes; the error is that of listening.
func (s *Service) SetFaults(f Faults) error {
	if f.Mode == "" {
		f.Mode = ModeUp
	}
	s.setFaultsMu.Lock()
	defer s.setFaultsMu.Unlock()
	s.mu.Lock()
	s.faults = f
	if s.faultsChanged != nil {
		close(s.faultsChanged)
		s.faultsChanged = nil
	}
	server := s.server
	s.mu.Unlock()
	defer s.countFaultChange()
	if server == nil {
		return nil
	}
	if f.Mode == ModeRefusing {
		server.Suspend()
		return nil
	}
	return server.Start(context.Background())
}

func (s *Service) countFaultChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.FaultChanges++
}

// Faults returns the faults in effect.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// checkOutage returns nil if the mode lets a call proceed, else a *extern.LogError. In ModeHanging it first waits until
// the mode changes or ctx ends.
func (s *Service) checkOutage(ctx context.Context, name extern.Stream) error {
	for {
		mode, changed := s.currentMode()
		switch mode {
		case ModeFailing:
			return &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: &OutageError{Mode: mode}}
		case ModeRefusing:
			return &extern.LogError{Kind: extern.LogRefused, Stream: name, Err: &OutageError{Mode: mode}}
		case ModeHanging:
			select {
			case <-changed:
			case <-ctx.Done():
				return &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: ctx.Err()}
			}
		default:
			return nil
		}
	}
}

// currentMode returns the mode and a channel that closes when the faults change. It counts a failed call unless the
// mode is ModeUp.
func (s *Service) currentMode() (Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsChanged == nil {
		s.faultsChanged = make(chan struct{})
	}
	if s.faults.Mode != ModeUp && s.faults.Mode != "" {
		s.stats.Failed++
	}
	return s.faults.Mode, s.faultsChanged
}

// appendPlan holds the faults that one append meets. The delays count from its start.
type appendPlan struct {
	rateLimited   bool
	responseLost  bool
	effectDelay   time.Duration
	responseDelay time.Duration
}

// planAppend applies the rate limit and draws the faults of one append.
func (s *Service) planAppend() appendPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	}
	if !s.allowAppend(time.Now()) {
		s.stats.Refused++
		return appendPlan{rateLimited: true}
	}
	p := appendPlan{effectDelay: s.faults.Delay / 2, responseDelay: s.faults.Delay}
	if s.random.Float64() < s.faults.Late {
		s.stats.Late++
		p.responseLost = true
		p.effectDelay = s.faults.LateBy
		return p
	}
	if s.random.Float64() < s.faults.LostResponses {
		s.stats.LostResponses++
		p.responseLost = true
	}
	return p
}
