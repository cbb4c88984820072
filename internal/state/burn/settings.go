package burn

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the service-level objectives. Fields that are not set for a route or organisation come from Default.
type Settings struct {
	Default       Objectives                          `json:"default"`
	Routes        map[ident.RouteID]Objectives        `json:"routes,omitempty"`
	Organisations map[ident.OrganisationID]Objectives `json:"organisations,omitempty"`
}

// Objectives are the promised shares of good events, at least 0 and below 1, and the latencies up to which an event is good,
// in milliseconds. A field of 0 is not set.
type Objectives struct {
	// Availability is the share of requests that get a complete answer.
	Availability float64 `json:"availability,omitempty" validate:"gte=0,lt=1"`
	// TTFT is the share of answers whose first token comes within TTFTMillis.
	TTFT       float64 `json:"ttft,omitempty" validate:"gte=0,lt=1"`
	TTFTMillis int64   `json:"ttftMs,omitempty" validate:"gte=0"`
	// ITL is the share of answers whose mean time between tokens is at most ITLMillis.
	ITL       float64 `json:"itl,omitempty" validate:"gte=0,lt=1"`
	ITLMillis int64   `json:"itlMs,omitempty" validate:"gte=0"`
	// OnTimeMoves is the share of moves that are done by their deadline, of those that are done or past it. It is only read
	// from Settings.Default.
	OnTimeMoves float64 `json:"onTimeMoves,omitempty" validate:"gte=0,lt=1"`
}

// builtInObjectives applies to fields that are set nowhere in the settings.
var builtInObjectives = Objectives{
	Availability: defaultAvailabilityObjective, TTFT: defaultLatencyObjective, TTFTMillis: defaultTTFTMillis,
	ITL: defaultLatencyObjective, ITLMillis: defaultITLMillis, OnTimeMoves: defaultOnTimeObjective,
}

// For returns the objectives of an organisation on a route. Each field is taken from the organisation if set there, else from
// the route, else from Default, else from the built-in objectives.
func (s *Settings) For(route ident.RouteID, org ident.OrganisationID) Objectives {
	return s.Organisations[org].withDefaults(s.Routes[route]).withDefaults(s.Default).withDefaults(builtInObjectives)
}

// withDefaults returns the objectives with fields that are not set taken from other.
func (o Objectives) withDefaults(other Objectives) Objectives {
	return Objectives{
		Availability: firstNonZero(o.Availability, other.Availability),
		TTFT:         firstNonZero(o.TTFT, other.TTFT),
		TTFTMillis:   firstNonZero(o.TTFTMillis, other.TTFTMillis),
		ITL:          firstNonZero(o.ITL, other.ITL),
		ITLMillis:    firstNonZero(o.ITLMillis, other.ITLMillis),
		OnTimeMoves:  firstNonZero(o.OnTimeMoves, other.OnTimeMoves),
	}
}

func firstNonZero[N int64 | float64](a, b N) N {
	if a != 0 {
		return a
	}
	return b
}

func (o Objectives) ttftThreshold() time.Duration {
	return time.Duration(o.TTFTMillis) * time.Millisecond
}
func (o Objectives) itlThreshold() time.Duration {
	return time.Duration(o.ITLMillis) * time.Millisecond
}
