package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Status tells operators what the lease rests on.
type Status struct {
	Valid  bool
	Ground Ground
	// RemainingMs is how long the lease would last without news.
	Remaining time.Duration
	// TailReadAgeMs is the age of the last read that reached the log's tail; below 0 if there was none.
	TailReadAge time.Duration
	// Witnesses of Needed witnesses have answered in time, this daemon counted.
	Witnesses  int
	Quorum     int
	Recovering bool
	Applied    ident.Offset
}

func (s Status) String() string {
	return fmt.Sprintf("ground %s, log read %d ms ago, %d witnesses of %d needed, recovering %t, applied %d",
		s.Ground, s.TailReadAge.Milliseconds(), s.Witnesses, s.Quorum, s.Recovering, s.Applied)
}

// MarshalJSON gives the times in milliseconds.
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

// ageMs keeps a negative age, which means that there is none, apart from a short one.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
