package quota

import (
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Limit is an organisation's rate and burst over all daemons together.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// State is the part of the replayed state at one offset that decides shares. It is immutable.
type State interface {
	// Limit returns the limit of an organisation; false when it does not exist or is disabled.
	Limit(org ident.OrganisationID) (Limit, bool)
	// Homes returns the daemons that mint the organisation's tokens, each an equal share.
	Homes(org ident.OrganisationID) []ident.DaemonID
	// MembersRevision changes whenever the members that Homes depends on change.
	MembersRevision() ident.Offset
}

// View holds the states that may be in use somewhere in the fleet: the newest one that is in force,
// then each later one up to the newest that this daemon has applied. It is never empty.
type View struct {
	States []State
}

func (v View) applied() State { return v.States[len(v.States)-1] }

// basis is what a state decides the share and the limit of an organisation by.
type basis struct {
	limit   Limit
	known   bool
	members ident.Offset
}

// basisOf returns what the share and the limit of an organisation follow from, without repetitions.
func (v View) basisOf(org ident.OrganisationID) []basis {
	all := make([]basis, 0, len(v.States))
	for _, s := range v.States {
		b := basis{members: s.MembersRevision()}
		b.limit, b.known = s.Limit(org)
		all = append(all, b)
	}
	return slices.Compact(all)
}

// share is the part of a limit that one home mints.
type share struct {
	rate micro
	cap  micro
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

// shareOf returns the share of a daemon with the homes in each state: the least that any state of the view gives it. So
// a lost share and a lower limit hold at once, a gained share and a higher limit once they are in force.
func (v View) shareOf(org ident.OrganisationID, homesOf [][]ident.DaemonID, self ident.DaemonID) share {
	var least share
	found := false
	for i, s := range v.States {
		homes := homesOf[i]
		index := slices.Index(homes, self)
		if index < 0 {
			return share{}
		}
		limit, ok := s.Limit(org)
		if !ok && !found {
			continue
		}
		part := partOf(limit, index, len(homes))
		if !found || part.rate < least.rate {
			least.rate = part.rate
		}
		if !found || part.cap < least.cap {
			least.cap = part.cap
		}
		found = true
	}
	return least
}

// limitOf returns the limit that holds everywhere: the least of all states that know the organisation.
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

func (v View) membersRevisions() []ident.Offset {
	revisions := make([]ident.Offset, 0, len(v.States))
	for _, s := range v.States {
		revisions = append(revisions, s.MembersRevision())
	}
	return slices.Compact(revisions)
}

// partOf returns the share of the home at the index. The capacities are whole tokens and add up to the burst.
func partOf(limit Limit, index, homes int) share {
	n := ident.Tokens(homes)
	burst := max(0, limit.Burst)
	tokens := burst / n
	if ident.Tokens(index) < burst%n {
		tokens++
	}
	return share{
		rate: max(0, micro(limit.Rate)) * microPerToken / micro(homes),
		cap:  toMicro(tokens),
	}
}
