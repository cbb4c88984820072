package admin

import (
	"context"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// List is the answer to a request for all entities of a kind.
type List struct {
	Items []Resource `json:"items"`
}

// update is a request to set or delete an entity.
type update struct {
	id   string
	body []byte
	pre  precondition
}

func decodeUpdate(ctx context.Context, r *http.Request) (update, error) {
	pre, err := decodePrecondition(r)
	if err != nil {
		return update{}, err
	}
	body, err := readBody(ctx, r)
	if err != nil {
		return update{}, err
	}
	return update{id: r.PathValue("id"), body: body, pre: pre}, nil
}

func (s *Server) kindOperations(k kind) []operation {
	ops := []operation{
		{
			method: http.MethodGet, path: "/" + k.name, id: "list-" + k.name, status: http.StatusOK,
			summary:  "List the " + k.name + " that the operator may see",
			response: List{}, entity: k.example,
			handler: handle(s, http.StatusOK, none, s.lister(k)),
		},
		{
			method: http.MethodGet, path: "/" + k.name + "/{id}", id: "get-" + k.name, status: http.StatusOK,
			summary:  "Read one of the " + k.name + " with its revision",
			response: Resource{}, entity: k.example,
			handler: handle(s, http.StatusOK, pathID, s.getter(k)),
		},
	}
	if k.readOnly {
		return ops
	}
	return append(ops,
		operation{
			method: http.MethodPut, path: "/" + k.name + "/{id}", id: "put-" + k.name, status: http.StatusAccepted,
			summary:  "Create or change one of the " + k.name + ", based on the revision in If-Match or on If-None-Match: *",
			request:  k.example,
			response: Change{}, entity: k.example,
			handler: handle(s, http.StatusAccepted, decodeUpdate, s.putter(k)),
		},
		operation{
			method: http.MethodDelete, path: "/" + k.name + "/{id}", id: "delete-" + k.name, status: http.StatusAccepted,
			summary:  "Delete one of the " + k.name + ", based on the revision in If-Match",
			response: Change{},
			handler:  handle(s, http.StatusAccepted, decodeUpdate, s.deleter(k)),
		})
}

func (s *Server) lister(k kind) func(context.Context, struct{}) (*List, error) {
	return func(ctx context.Context, _ struct{}) (*List, error) {
		return &List{Items: k.list(s.State(), operatorOf(ctx))}, nil
	}
}

func (s *Server) getter(k kind) func(context.Context, string) (*Resource, error) {
	return func(ctx context.Context, id string) (*Resource, error) {
		return s.lookUp(ctx, k, id)
	}
}

// lookUp returns an entity that the operator may see. One that it may not see looks like one that isn't there.
func (s *Server) lookUp(ctx context.Context, k kind, id string) (*Resource, error) {
	st := s.State()
	e := k.find(st, id)
	if e == nil || !operatorOf(ctx).HasRole(config.RoleViewer, config.PathOf(e)) {
		return nil, &Error{Code: CodeNotFound, Message: "none of the " + k.name + " has the id " + id}
	}
	resource := newResource(st, e)
	return &resource, nil
}

func (s *Server) putter(k kind) func(context.Context, update) (*Change, error) {
	return func(ctx context.Context, u update) (*Change, error) {
		e, err := k.decode(u.id, u.body)
		if err != nil {
			return nil, err
		}
		if !u.pre.given {
			return nil, preconditionMissing()
		}
		if route, ok := e.(*config.Route); ok {
			if err := orders.CheckRoute(s.State(), route); err != nil {
				return nil, &Error{Code: CodeInvalid, Message: err.Error(), Path: config.PathOf(e), Err: err}
			}
		}
		return s.put(ctx, k.role, u.pre.base, e)
	}
}

func preconditionMissing() error {
	return &Error{
		Code:    CodePreconditionMissing,
		Message: "say what the change is based on: If-Match with the revision that you read, or If-None-Match: * to create",
	}
}

func (s *Server) deleter(k kind) func(context.Context, update) (*Change, error) {
	return func(ctx context.Context, u update) (*Change, error) {
		resource, err := s.lookUp(ctx, k, u.id)
		if err != nil {
			return nil, err
		}
		if !u.pre.given {
			return nil, preconditionMissing()
		}
		op := operatorOf(ctx)
		if err := checkRole(op, k.role, resource.Path); err != nil {
			return nil, err
		}
		return s.write(ctx, config.NewDeletion(s.recordID(ctx, resource.Path), string(op.ID), u.pre.base, resource.Path), nil)
	}
}
