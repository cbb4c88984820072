package logsvc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// Mode is whether the service works.
type Mode string

// Modes of the service.
const (
	// ModeUp: calls work.
	ModeUp Mode = "up"
	// ModeFailing: every call fails without an effect, and the caller can't know that it had none.
	ModeFailing Mode = "failing"
	// ModeRefusing: connections are refused.
	ModeRefusing Mode = "refusing"
	// ModeHanging: calls get no answer until the mode changes or the caller gives up.
	ModeHanging Mode = "hanging"
)

// Faults are the faults that the service shows. The zero value is none.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is added to each call; an append takes effect after half of it.
	Delay time.Duration `json:"delayNanos"`
	// LostAnswers is the share of appends, 0 to 1, that take effect though the caller gets no answer.
	LostAnswers float64 `json:"lostAnswers"`
	// Late is the share of appends, 0 to 1, that get no answer and take effect after LateBy.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
}

// RateError says that too many appends came in the last second.
type RateError struct {
	AppendsPerSecond int
}

func (e *RateError) Error() string {
	return fmt.Sprintf("more than %d appends in a second", e.AppendsPerSecond)
}

// OutageError is a call during an outage.
type OutageError struct {
	Mode Mode
}

func (e *OutageError) Error() string { return fmt.Sprintf("the log service is %s", e.Mode) }

// LostError is an append whose answer was lost.
type LostError struct{}

func (e *LostError) Error() string { return "the answer was lost" }

// SetFaults replaces the faults. A server that was started stops listening in ModeRefusing and listens again in
// the other modes; the error is that of listening.
func (s *Service) SetFaults(f Faults) error {
	if f.Mode == "" {
		f.Mode = ModeUp
	}
	s.switching.Lock()
	defer s.switching.Unlock()
	s.mu.Lock()
	s.faults = f
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	server := s.server
	s.mu.Unlock()
	defer s.countSwitch()
	if server == nil {
		return nil
	}
	if f.Mode == ModeRefusing {
		server.Suspend()
		return nil
	}
	return server.Start(context.Background())
}

func (s *Service) countSwitch() {
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

// admit returns the failure of a call that an outage stops, after waiting if the service hangs.
func (s *Service) admit(ctx context.Context, name extern.Stream) error {
	for {
		mode, changed := s.modeNow()
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

func (s *Service) modeNow() (Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.faults.Mode != ModeUp && s.faults.Mode != "" {
		s.stats.Failed++
	}
	return s.faults.Mode, s.changed
}

// plan is what becomes of one append.
type plan struct {
	refused     bool
	lost        bool
	effectAfter time.Duration
	answerAfter time.Duration
}

func (s *Service) plan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	}
	if !s.takeSlot(time.Now()) {
		s.stats.Refused++
		return plan{refused: true}
	}
	p := plan{effectAfter: s.faults.Delay / 2, answerAfter: s.faults.Delay}
	if s.random.Float64() < s.faults.Late {
		s.stats.Late++
		p.lost = true
		p.effectAfter = s.faults.LateBy
		return p
	}
	if s.random.Float64() < s.faults.LostAnswers {
		s.stats.LostAnswers++
		p.lost = true
	}
	return p
}
