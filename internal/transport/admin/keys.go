package admin

import (
	"context"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Prefixes that tell callers' keys and operators' keys apart.
const (
	callerKeyPrefix   = "gbw-"
	operatorKeyPrefix = "gbo-"
)

// NewKey is a request for a caller's key.
type NewKey struct {
	// ID is chosen by the daemon if it is empty.
	ID           ident.KeyID          `json:"id,omitempty"`
	Organisation ident.OrganisationID `json:"organisation"`
}

// NewOperator is a request for an operator, or for a new key of one.
type NewOperator struct {
	ID     ident.OperatorID   `json:"id"`
	Grants []config.RoleGrant `json:"grants"`
}

func decodeBody[T any](ctx context.Context, r *http.Request) (*T, error) {
	body, err := readBody(ctx, r)
	if err != nil {
		return nil, err
	}
	v := new(T)
	if err := decodeStrict(body, v); err != nil {
		return nil, err
	}
	return v, nil
}

func (s *Server) keyOperations() []operation {
	return []operation{
		{
			method: http.MethodPost, path: "/keys", id: "create-key", status: http.StatusCreated,
			summary: "Create a key of an organisation; the answer shows it once",
			request: NewKey{}, response: Change{}, entity: &config.Key{},
			handler: handle(s, http.StatusCreated, decodeBody[NewKey], s.createKey),
		},
		{
			method: http.MethodPost, path: "/keys/{id}/withdraw", id: "withdraw-key", status: http.StatusAccepted,
			summary:  "Withdraw a key; daemons refuse it where they read the change, all of them within seconds",
			response: Change{}, entity: &config.Key{},
			handler: handle(s, http.StatusAccepted, pathID, s.withdrawKey),
		},
	}
}

func (s *Server) operatorOperations() []operation {
	return []operation{{
		method: http.MethodPost, path: "/operators", id: "create-operator", status: http.StatusCreated,
		summary: "Create an operator; the answer shows the key once",
		request: NewOperator{}, response: Change{}, entity: &config.Operator{},
		handler: handle(s, http.StatusCreated, decodeBody[NewOperator], s.createOperator),
	}}
}

func (s *Server) createKey(ctx context.Context, req *NewKey) (*Change, error) {
	org, ok := s.State().Organisation(req.Organisation)
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "organisation " + string(req.Organisation) + " does not exist"}
	}
	if req.ID == "" {
		req.ID = ident.KeyID("key-" + randomHex(idBytes))
	}
	secret := callerKeyPrefix + randomHex(keySecretBytes)
	key := &config.Key{ID: req.ID, Team: org.Team, Organisation: org.ID, Digest: ident.DigestOf(secret)}
	return s.putSecret(ctx, config.RoleEditor, key, secret)
}

func (s *Server) createOperator(ctx context.Context, req *NewOperator) (*Change, error) {
	if !operatorOf(ctx).CanGrant(req.Grants) {
		return nil, &Error{Code: CodeForbidden, Message: "only grants on subtrees that you administer can be given"}
	}
	secret := operatorKeyPrefix + randomHex(keySecretBytes)
	op := &config.Operator{ID: req.ID, KeyDigest: ident.DigestOf(secret), Grants: req.Grants}
	return s.putSecret(ctx, config.RoleAdmin, op, secret)
}

// putSecret creates an entity that holds the digest of a secret, and shows the secret once.
func (s *Server) putSecret(ctx context.Context, role config.Role, e config.Entity, secret string) (*Change, error) {
	change, err := s.put(ctx, role, 0, e)
	if err != nil {
		return nil, err
	}
	change.Secret = secret
	return change, nil
}

func (s *Server) withdrawKey(ctx context.Context, id string) (*Change, error) {
	st := s.State()
	key, ok := findKey(st, id)
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "key " + id + " does not exist"}
	}
	path := config.PathOf(key)
	if key.Withdrawn {
		if err := checkRole(operatorOf(ctx), config.RoleViewer, path); err != nil {
			return nil, err
		}
		revision := st.Revision(path)
		return &Change{Resource: newResource(st, key), Progress: s.Progress(revision)}, nil
	}
	withdrawn := *key
	withdrawn.Withdrawn = true
	return s.put(ctx, config.RoleEditor, st.Revision(path), &withdrawn)
}
