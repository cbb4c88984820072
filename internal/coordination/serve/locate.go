package serve

import (
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// homesPerOrganisation is how many daemons share the traffic and the limits of an organisation.
const homesPerOrganisation = 4

// Homes returns the daemons that share the traffic and the limits of an organisation, best first. They are chosen by
// rendezvous hashing among the joined daemons, spread over failure domains.
func Homes(joined []rhash.Node, org ident.OrganisationID) []ident.DaemonID {
	return rhash.Pick(string(org), joined, homesPerOrganisation)
}

// Locate returns the daemons that the caller shall use, best first. The error is an *Error.
func (s *Service) Locate(cred Credentials) ([]*config.Member, error) {
	st := s.State()
	var org ident.OrganisationID
	if cred.HasKey {
		caller, err := authenticate(st, cred)
		if err != nil {
			return nil, err
		}
		org = caller.Organisation
	}
	homes := Homes(member.Joined(st), org)
	if len(homes) == 0 {
		return nil, &Error{Code: CodeNoUpstream, Message: "no daemon has joined yet", RetryAfter: retryNoUpstream}
	}
	members := make([]*config.Member, 0, len(homes))
	for _, id := range homes {
		if m, ok := st.Member(id); ok {
			members = append(members, m)
		}
	}
	return members, nil
}
