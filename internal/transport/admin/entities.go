package admin

import (
	"context"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// EntityList is the response to a request for all entities of a kind.
type EntityList struct {
	Items []Resource `json:"items"`
}

// updateRequest is a request to create, replace or delete an entity.
type updateRequest struct {
	id           string
	body         []byte
	precondition precondition
}

func decodeUpdate(ctx context.Context, r *http.Request) (updateRequest, error) {
	pre, err := decodePrecondition(r)
	if err != nil {
		return updateRequest{}, err
	}
	body, err := readBody(ctx, r)
	if err != nil {
		return updateRequest{}, err
	}
	return updateRequest{id: r.PathValue("id"), body: body, precondition: pre}, nil
}

// kindOperations returns the operations of an entity kind: list and get, and put and delete unless it is read-only.
func (s *Server) kindOperations(k kind) []operation {
	ops := []operation{
		{
			method: http.MethodGet, path: "/" + k.name, id: "list-" + k.name, status: http.StatusOK,
			summary:  "List the " + k.name + " that the operator may see",
			response: EntityList{}, entity: k.example,
			handler: newHandler(s, http.StatusOK, decodeNothing, s.listFunc(k)),
		},
		{
			method: http.MethodGet, path: "/" + k.name + "/{id}", id: "get-" + k.name, status: http.StatusOK,
			summary:  "Read one of the " + k.name + " with its revision",
			response: Resource{}, entity: k.example,
			handler: newHandler(s, http.StatusOK, decodePathID, s.getFunc(k)),
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
			handler: newHandler(s, http.StatusAccepted, decodeUpdate, s.putFunc(k)),
		},
		operation{
			method: http.MethodDelete, path: "/" + k.name + "/{id}", id: "delete-" + k.name, status: http.StatusAccepted,
			summary:  "Delete one of the " + k.name + ", based on the revision in If-Match",
			response: Change{},
			handler:  newHandler(s, http.StatusAccepted, decodeUpdate, s.deleteFunc(k)),
		})
}

func (s *Server) listFunc(k kind) func(context.Context, struct{}) (*EntityList, error) {
	return func(ctx context.Context, _ struct{}) (*EntityList, error) {
		return &EntityList{Items: k.list(s.State(), operatorFromContext(ctx))}, nil
	}
}

func (s *Server) getFunc(k kind) func(context.Context, string) (*Resource, error) {
	return func(ctx context.Context, id string) (*Resource, error) {
		return s.findVisible(ctx, k, id)
	}
}

// findVisible returns the entity with the id. Both a missing entity and one that the operator has no role to read give
// CodeNotFound, so that the response does not reveal which ids exist.
func (s *Server) findVisible(ctx context.Context, k kind, id string) (*Resource, error) {
	st := s.State()
	e := k.find(st, id)
	if e == nil || !operatorFromContext(ctx).HasRole(config.RoleViewer, config.PathOf(e)) {
		return nil, &Error{Code: CodeNotFound, Message: "none of the " + k.name + " has the id " + id}
	}
	resource := newResource(st, e)
	return &resource, nil
}

func (s *Server) putFunc(k kind) func(context.Context, updateRequest) (*Change, error) {
	return func(ctx context.Context, req updateRequest) (*Change, error) {
		e, err := k.decode(req.id, req.body)
		if err != nil {
			return nil, err
		}
		if !req.precondition.present {
			return nil, preconditionMissingError()
		}
		if route, ok := e.(*config.Route); ok {
			if err := orders.CheckRoute(s.State(), route); err != nil {
				return nil, &Error{Code: CodeInvalid, Message: err.Error(), Path: config.PathOf(e), Err: err}
			}
		}
		return s.putEntity(ctx, k.role, req.precondition.baseRevision, e)
	}
}

func preconditionMissingError() error {
	return &Error{
		Code:    CodePreconditionMissing,
		Message: "say what the change is based on: If-Match with the revision that you read, or If-None-Match: * to create",
	}
}

func (s *Server) deleteFunc(k kind) func(context.Context, updateRequest) (*Change, error) {
	return func(ctx context.Context, req updateRequest) (*Change, error) {
		resource, err := s.findVisible(ctx, k, req.id)
		if err != nil {
			return nil, err
		}
		if !req.precondition.present {
			return nil, preconditionMissingError()
		}
		op := operatorFromContext(ctx)
		if err := checkRole(op, k.role, resource.Path); err != nil {
			return nil, err
		}
		return s.appendRecord(ctx, config.NewDeletion(s.recordID(ctx, resource.Path), string(op.ID), req.precondition.baseRevision, resource.Path), nil)
	}
}
