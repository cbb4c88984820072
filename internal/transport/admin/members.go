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
		handler: newHandler(s, http.StatusAccepted, decodePathID, s.declareDead),
	}}
}

// declareDead records that the VM of a daemon no longer runs. If the daemon does still run, it stops serving as soon as
// it reads the record.
func (s *Server) declareDead(ctx context.Context, id string) (*Change, error) {
	st := s.State()
	member, ok := st.Member(ident.DaemonID(id))
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "daemon " + id + " is not a member"}
	}
	dead := *member
	dead.State = config.MemberDead
	return s.putEntity(ctx, config.RoleAdmin, st.Revision(config.PathOf(member)), &dead)
}
