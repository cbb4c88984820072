package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Status describes the lease and its grounds to operators.
type Status struct {
	Valid  bool
	Ground Ground
	// Remaining is how long the lease stays valid if it is not renewed.
	Remaining time.Duration
	// TailReadAge is the time since the start of the last read that reached the log's tail; negative if there was none.
	TailReadAge time.Duration
	// Witnesses is the number of witnesses that have acknowledged a heartbeat sent within member.LeaseTTL, this daemon
	// included. Quorum is the number that a lease needs.
	Witnesses  int
	Quorum     int
	Recovering bool
	Applied    ident.Offset
}

func (s Status) String() string {
	return fmt.Sprintf("ground %s, log read %d ms ago, %d witnesses of %d needed, recovering %t, applied %d",
		s.Ground, s.TailReadAge.Milliseconds(), s.Witnesses, s.Quorum, s.Recovering, s.Applied)
}

// MarshalJSON encodes the durations in milliseconds.
func (s Status) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Valid         bool         `json:"valid"`
		Ground        Ground       `json:"ground"`
		RemainingMs   int64        `json:"remainingMs"`
		TailReadAgeMs int64        `json:"tailReadAgeMs"`
		Witnesses     int          `json:"witnesses"`
		Needed        int          `json:"needed"`
		Recovering    bool         `json:"recovering"`
		Applied       ident.Offset `json:"applied"`
	}{
		Valid:         s.Valid,
		Ground:        s.Ground,
		RemainingMs:   s.Remaining.Milliseconds(),
		TailReadAgeMs: ageMs(s.TailReadAge),
		Witnesses:     s.Witnesses,
		Needed:        s.Quorum,
		Recovering:    s.Recovering,
		Applied:       s.Applied,
	})
}

// ageMs returns an age in milliseconds, and -1 for any negative age, which means that there is none. Rounding a
// negative age could yield 0.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
