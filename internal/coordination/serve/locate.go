package serve

import (
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// daemonsPerOrganisation is the number of daemons that share the traffic and the rate limit of an organisation.
const daemonsPerOrganisation = 4

// Homes returns the daemons that share the traffic and the rate limit of an organisation, preferred first. They are chosen
// by rendezvous hashing among the joined daemons, from different failure domains if possible.
func Homes(joined []rhash.Node, org ident.OrganisationID) []ident.DaemonID {
	return rhash.Pick(string(org), joined, daemonsPerOrganisation)
}

// Locate returns the daemons that the caller should send requests to, preferred first. The error is an *Error.
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
		return nil, &Error{Code: CodeNoUpstream, Message: "no daemon has joined yet", RetryAfter: retryAfterNoUpstream}
	}
	members := make([]*config.Member, 0, len(homes))
	for _, id := range homes {
		if m, ok := st.Member(id); ok {
			members = append(members, m)
		}
	}
	return members, nil
}
