package quota

import (
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Limit is an organisation's rate limit over all daemons together.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// State is the part of the replayed state at one offset that determines the shares. It is immutable.
type State interface {
	// Limit returns the limit of an organisation; false when it does not exist or is disabled.
	Limit(org ident.OrganisationID) (Limit, bool)
	// Homes returns the organisation's homes: the daemons that each issue an equal share of its tokens.
	Homes(org ident.OrganisationID) []ident.DaemonID
	// MembersRevision changes whenever the members that Homes depends on change.
	MembersRevision() ident.Offset
}

// View holds the states that daemons of the fleet may be using: the newest one in force, then every later one up to
// the newest that this daemon has applied. It is never empty.
type View struct {
	States []State
}

func (v View) applied() State { return v.States[len(v.States)-1] }

// limitInputs is what the share and the limit of an organisation follow from in one state.
type limitInputs struct {
	limit           Limit
	exists          bool
	membersRevision ident.Offset
}

// limitInputsOf returns the inputs of all states, without adjacent duplicates.
func (v View) limitInputsOf(org ident.OrganisationID) []limitInputs {
	inputs := make([]limitInputs, 0, len(v.States))
	for _, s := range v.States {
		input := limitInputs{membersRevision: s.MembersRevision()}
		input.limit, input.exists = s.Limit(org)
		inputs = append(inputs, input)
	}
	return slices.Compact(inputs)
}

// share is one home's part of a limit; the rate is in microTokens a second.
type share struct {
	rate     microTokens
	capacity microTokens
}

// homesOf returns the homes of an organisation in each state.
func (v View) homesOf(org ident.OrganisationID) [][]ident.DaemonID {
	homes := make([][]ident.DaemonID, len(v.States))
	for i, s := range v.States {
		if i > 0 && s.MembersRevision() == v.States[i-1].MembersRevision() {
			homes[i] = homes[i-1]
			continue
		}
		homes[i] = s.Homes(org)
	}
	return homes
}

// shareOf returns the share of a daemon: the smallest that any state of the view gives it, given the homes in each
// state. So a lost share and a lower limit apply at once, a gained share and a higher limit when they are in force.
func (v View) shareOf(org ident.OrganisationID, homesByState [][]ident.DaemonID, self ident.DaemonID) share {
	var least share
	found := false
	for i, s := range v.States {
		homes := homesByState[i]
		index := slices.Index(homes, self)
		if index < 0 {
			return share{}
		}
		limit, ok := s.Limit(org)
		if !ok && !found {
			continue
		}
		part := equalShare(limit, index, len(homes))
		if !found || part.rate < least.rate {
			least.rate = part.rate
		}
		if !found || part.capacity < least.capacity {
			least.capacity = part.capacity
		}
		found = true
	}
	return least
}

// limitOf returns the smallest limit of all states that have the organisation; false when the newest state has not.
func (v View) limitOf(org ident.OrganisationID) (Limit, bool) {
	least, ok := v.applied().Limit(org)
	if !ok {
		return Limit{}, false
	}
	for _, s := range v.States {
		if limit, known := s.Limit(org); known {
			least.Rate = min(least.Rate, limit.Rate)
			least.Burst = min(least.Burst, limit.Burst)
		}
	}
	return least, true
}

func (v View) memberRevisions() []ident.Offset {
	revisions := make([]ident.Offset, 0, len(v.States))
	for _, s := range v.States {
		revisions = append(revisions, s.MembersRevision())
	}
	return slices.Compact(revisions)
}

// equalShare returns the share of the home at an index. The capacities are whole tokens and add up to the burst.
func equalShare(limit Limit, index, homes int) share {
	n := ident.Tokens(homes)
	burst := max(0, limit.Burst)
	tokens := burst / n
	if ident.Tokens(index) < burst%n {
		tokens++
	}
	return share{
		rate:     max(0, microTokens(limit.Rate)) * microTokensPerToken / microTokens(homes),
		capacity: toMicroTokens(tokens),
	}
}
