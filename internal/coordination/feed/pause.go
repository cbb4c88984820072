package feed

import "time"

const (
	// pauseCheckInterval is the time between two calls of pauseDetector.tick.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest time without a tick that is taken for a pause of the process, as a freeze of its VM.
	minPause = maxObservationGap
)

// pauseDetector tells whether the process was paused: what it received just after that may have been sent long before.
type pauseDetector struct {
	tickedAt, pausedAt, resumedAt time.Time
}

// tick records that the process runs.
func (p *pauseDetector) tick(now time.Time) {
	if !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > minPause {
		p.pausedAt, p.resumedAt = p.tickedAt, now
	}
	p.tickedAt = now
}

// justResumed returns when the process was paused, if it has resumed less than minPause ago.
func (p *pauseDetector) justResumed(now time.Time) (time.Time, bool) {
	p.tick(now)
	return p.pausedAt, !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < minPause
}
