package serve

import (
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Caller identifies who sent a request, according to the current configuration.
type Caller struct {
	Organisation ident.OrganisationID
	Team         ident.TeamID
	// Key is nil on an open route without a key.
	Key *config.Key
}

// authenticate returns the caller that the credentials belong to. The error is an *Error.
func authenticate(st *config.State, cred Credentials) (Caller, error) {
	if !cred.HasKey {
		return Caller{}, &Error{Code: CodeKeyMissing, Message: "a bearer key is needed"}
	}
	key, ok := st.KeyByDigest(cred.KeyDigest)
	if !ok {
		return Caller{}, &Error{Code: CodeKeyInvalid, Message: "the key is not known"}
	}
	if key.Withdrawn {
		return Caller{}, &Error{Code: CodeKeyWithdrawn, Message: "the key has been withdrawn"}
	}
	org, ok := st.Organisation(key.Organisation)
	if !ok {
		return Caller{}, &Error{Code: CodeKeyInvalid, Message: "the key's organisation does not exist"}
	}
	if org.Disabled {
		return Caller{}, &Error{Code: CodeOrganisationDisabled, Message: "the organisation is disabled"}
	}
	return Caller{Organisation: org.ID, Team: org.Team, Key: key}, nil
}

// authorise returns the caller of a request if it may use the route. Only open routes accept requests without a key; a
// request with an invalid key is refused on any route. The error is an *Error.
func authorise(st *config.State, cred Credentials, route *config.Route) (Caller, error) {
	caller, err := authenticate(st, cred)
	if err == nil {
		if !route.Open && caller.Team != route.Team {
			return Caller{}, &Error{Code: CodeRouteNotFound, Message: "the route does not exist for this key"}
		}
		return caller, nil
	}
	if route.Open && !cred.HasKey {
		return Caller{Team: route.Team}, nil
	}
	return Caller{}, err
}

// checkDispatch checks the invariants that a request runs for the organisation of its key and that the key has not been
// withdrawn.
func checkDispatch(st *config.State, cred Credentials, caller Caller, route *config.Route) {
	if !cred.HasKey {
		guard.Check(route.Open && caller.Organisation == "", guard.OrganisationIsolated,
			"request without a key on route %s, but the route is not open or the request runs for an organisation", route.ID)
		return
	}
	key, ok := st.KeyByDigest(cred.KeyDigest)
	guard.Check(ok && key.Organisation == caller.Organisation, guard.OrganisationIsolated,
		"a request on route %s runs for organisation %s, not for that of its key", route.ID, caller.Organisation)
	guard.Check(ok && !key.Withdrawn, guard.KeyWithdrawn, "a key was withdrawn before dispatch on route %s", route.ID)
}
