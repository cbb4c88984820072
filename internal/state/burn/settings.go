package burn

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the service-level objectives. What a route or organisation doesn't set, it takes from the default.
type Settings struct {
	Default       Objectives                          `json:"default"`
	Routes        map[ident.RouteID]Objectives        `json:"routes,omitempty"`
	Organisations map[ident.OrganisationID]Objectives `json:"organisations,omitempty"`
}

// Objectives are the parts of good events that are promised, between 0 and 1, and what counts as good.
type Objectives struct {
	// Availability is the part of requests that get a whole answer.
	Availability float64 `json:"availability,omitempty" validate:"gte=0,lt=1"`
	// TTFT is the part of answers whose first token comes within TTFTMillis.
	TTFT       float64 `json:"ttft,omitempty" validate:"gte=0,lt=1"`
	TTFTMillis int64   `json:"ttftMs,omitempty" validate:"gte=0"`
	// ITL is the part of answers whose mean time between tokens is within ITLMillis.
	ITL       float64 `json:"itl,omitempty" validate:"gte=0,lt=1"`
	ITLMillis int64   `json:"itlMs,omitempty" validate:"gte=0"`
	// OnTimeMoves is the part of finished moves that are done by their deadline; only the default's is used.
	OnTimeMoves float64 `json:"onTimeMoves,omitempty" validate:"gte=0,lt=1"`
}

// builtIn holds what no settings give.
var builtIn = Objectives{
	Availability: defaultAvailability, TTFT: defaultLatency, TTFTMillis: defaultTTFTMillis,
	ITL: defaultLatency, ITLMillis: defaultITLMillis, OnTimeMoves: defaultOnTime,
}

// For returns the objectives of an organisation on a route: the organisation's before the route's before the default's.
func (s *Settings) For(route ident.RouteID, org ident.OrganisationID) Objectives {
	return s.Organisations[org].or(s.Routes[route]).or(s.Default).or(builtIn)
}

// or returns the objectives with the others in place of what is not set.
func (o Objectives) or(other Objectives) Objectives {
	return Objectives{
		Availability: first(o.Availability, other.Availability),
		TTFT:         first(o.TTFT, other.TTFT),
		TTFTMillis:   first(o.TTFTMillis, other.TTFTMillis),
		ITL:          first(o.ITL, other.ITL),
		ITLMillis:    first(o.ITLMillis, other.ITLMillis),
		OnTimeMoves:  first(o.OnTimeMoves, other.OnTimeMoves),
	}
}

func first[N int64 | float64](a, b N) N {
	if a != 0 {
		return a
	}
	return b
}

func (o Objectives) ttftLimit() time.Duration { return time.Duration(o.TTFTMillis) * time.Millisecond }
func (o Objectives) itlLimit() time.Duration  { return time.Duration(o.ITLMillis) * time.Millisecond }
