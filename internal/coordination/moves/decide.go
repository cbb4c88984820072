package moves

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// lateNote begins the reason of a move that can't finish by its deadline.
const lateNote = "It can't be done by its deadline"

// situation is all that a decision on a move rests on.
type situation struct {
	move config.Move
	self ident.DaemonID
	// winner says that this daemon is the one to own the move among the live ones.
	winner bool
	// ownerMissing is how long the owner has not been live.
	ownerMissing time.Duration
	verdict      Verdict
	// stopped is why a daemon has stopped the version, "" if none has.
	stopped string
	// overlap is another move of the same routes that goes first.
	overlap ident.MoveID
	// held is how long the move has been in its step and state, on this daemon's clock.
	held time.Duration
	now  time.Time
	// capacity says that enough engines have loaded the version for the next share.
	capacity bool
	// loading is how long the engines still need to load the version for the whole share.
	loading time.Duration
}

// decide returns the move as it should be, nil if it stays as it is.
func decide(s *situation, settings Settings) *config.Move {
	if s.move.State.Ended() {
		return nil
	}
	if s.move.Owner != s.self {
		return decideTakeover(s)
	}
	if s.stopped != "" {
		return takenBack(s, s.stopped)
	}
	if next := decideStep(s, settings); next != nil {
		return next
	}
	return decideLate(s, settings)
}

func decideTakeover(s *situation) *config.Move {
	if !s.winner || (s.move.Owner != "" && s.ownerMissing < takeoverAfter) {
		return nil
	}
	next := s.move
	next.Owner, next.OwnerEpoch = s.self, 0
	return &next
}

func takenBack(s *situation, reason string) *config.Move {
	next := s.move
	next.State, next.StateSince = config.MoveTakenBack, s.now
	next.Reason = fmt.Sprintf("Taken back to %s at %s: %s.", next.From, clock(s.now), reason)
	next.Share = 0
	return &next
}

func decideStep(s *situation, settings Settings) *config.Move {
	if s.move.State == config.MoveRunning && s.overlap == "" && s.capacity && stepOver(s, settings) {
		return advanced(s, settings)
	}
	if s.move.State == config.MoveSoaking && stepOver(s, settings) {
		return done(s)
	}
	return nil
}

// stepOver reports whether the present step may end.
func stepOver(s *situation, settings Settings) bool {
	planned := settings.planned(&s.move, s.move.Deadline.Sub(s.now)+s.held)
	if s.move.Share == 0 {
		return s.verdict.HasBaseline || s.held >= min(planned, baselineTime)
	}
	if s.verdict.Suspicious {
		return s.held >= planned*suspiciousPart
	}
	if s.move.State == config.MoveSoaking {
		return s.held >= planned
	}
	if s.verdict.Finding == FindingGood {
		return s.held >= settings.early(planned)
	}
	return s.held >= planned
}

func advanced(s *situation, settings Settings) *config.Move {
	next := s.move
	next.Step = settings.nextStep(&s.move)
	next.Share = settings.Steps[next.Step]
	next.StateSince = s.now
	next.Reason = fmt.Sprintf("%s gets %s since %s.", next.To, percent(next.Share), clock(s.now))
	if next.Share == wholePermille {
		next.State = config.MoveSoaking
		next.Reason = fmt.Sprintf("%s gets all requests but a control group since %s and is watched; %s is kept.", next.To, clock(s.now), next.From)
	}
	return &next
}

func done(s *situation) *config.Move {
	next := s.move
	next.State, next.StateSince = config.MoveDone, s.now
	next.Reason = fmt.Sprintf("Done at %s, %s: %s serves all requests.", clock(s.now), beforeDeadline(s), next.To)
	return &next
}

func beforeDeadline(s *situation) string {
	left := s.move.Deadline.Sub(s.now).Round(time.Second)
	if left >= 0 {
		return left.String() + " before its deadline"
	}
	return (-left).String() + " after its deadline"
}

// decideLate notes as soon as it is known that the move can't finish on time, and that it can again.
func decideLate(s *situation, settings Settings) *config.Move {
	needed := settings.shortest(&s.move, s.held) + s.loading
	left := s.move.Deadline.Sub(s.now)
	noted := strings.HasPrefix(s.move.Reason, lateNote)
	if noted == (needed > left) {
		return nil
	}
	next := s.move
	if noted {
		next.Reason = fmt.Sprintf("%s gets %s; it can be done by its deadline again.", next.To, percent(next.Share))
		return &next
	}
	next.Reason = fmt.Sprintf("%s: at %s it needed %s more and had %s; it goes on.",
		lateNote, clock(s.now), needed.Round(time.Second), max(0, left).Round(time.Second))
	if s.move.State == config.MovePaused {
		next.Reason = fmt.Sprintf("%s: it is paused, and at %s it needed %s more and had %s.",
			lateNote, clock(s.now), needed.Round(time.Second), max(0, left).Round(time.Second))
	}
	return &next
}

// clock writes a time for people.
func clock(at time.Time) string {
	return at.UTC().Format("15:04:05") + " UTC"
}
