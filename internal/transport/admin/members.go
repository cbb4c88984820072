package admin

import (
	"context"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func (s *Server) memberOperations() []operation {
	return []operation{{
		method: http.MethodPost, path: "/members/{id}/dead", id: "declare-member-dead", status: http.StatusAccepted,
		summary:  "Vouch that the VM of a daemon no longer runs, so that changes need not wait for it",
		response: Change{}, entity: &config.Member{},
		handler: handle(s, http.StatusAccepted, pathID, s.declareDead),
	}}
}

// declareDead records that a daemon's VM no longer runs. A daemon that still runs stops serving when it reads it.
func (s *Server) declareDead(ctx context.Context, id string) (*Change, error) {
	st := s.State()
	member, ok := st.Member(ident.DaemonID(id))
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "daemon " + id + " is not a member"}
	}
	dead := *member
	dead.State = config.MemberDead
	return s.put(ctx, config.RoleAdmin, st.Revision(config.PathOf(member)), &dead)
}
