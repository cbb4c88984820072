package admin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// kind describes an entity type that is read and written through the generic operations.
type kind struct {
	// name is the plural that is used in URL paths and operation ids.
	name string
	// role is the role that is required to change entities of the kind.
	role config.Role
	// readOnly kinds have no put and delete: daemons or dedicated operations write them.
	readOnly bool
	// decode decodes an entity from a JSON body and sets its id. The error is an *Error.
	decode func(id string, body []byte) (config.Entity, error)
	// find returns the entity with the id, or nil.
	find func(st *config.State, id string) config.Entity
	// example is an empty entity from which the OpenAPI schema is generated.
	example config.Entity
	// matches reports whether an entity is of the kind.
	matches func(config.Entity) bool
}

// entityPointer constrains E to *T that implements config.Entity.
type entityPointer[T any] interface {
	*T
	config.Entity
}

// newKind returns the kind of the entity type T; it is not read-only.
func newKind[T any, E entityPointer[T]](name string, role config.Role, setID func(E, string), find func(*config.State, string) (E, bool)) kind {
	return kind{
		name: name,
		role: role,
		decode: func(id string, body []byte) (config.Entity, error) {
			entity := E(new(T))
			if err := decodeStrict(body, entity); err != nil {
				return nil, err
			}
			setID(entity, id)
			return entity, nil
		},
		find: func(st *config.State, id string) config.Entity {
			if e, ok := find(st, id); ok {
				return e
			}
			return nil
		},
		example: E(new(T)),
		matches: func(e config.Entity) bool {
			_, ok := e.(E)
			return ok
		},
	}
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields. The error is an *Error.
func decodeStrict(body []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return &Error{Code: CodeInvalid, Message: "the body is not valid: " + err.Error(), Err: err}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{Code: CodeInvalid, Message: "there is data after the JSON object"}
	}
	return nil
}

// kinds returns all entity kinds in the order in which the OpenAPI document is built.
func kinds() []kind {
	operators := newKind("operators", config.RoleAdmin,
		func(e *config.Operator, id string) { e.ID = ident.OperatorID(id) }, findOperator)
	operators.readOnly = true
	keys := newKind("keys", config.RoleEditor,
		func(e *config.Key, id string) { e.ID = ident.KeyID(id) }, findKey)
	keys.readOnly = true
	members := newKind("members", config.RoleAdmin,
		func(e *config.Member, id string) { e.ID = ident.DaemonID(id) },
		func(st *config.State, id string) (*config.Member, bool) { return st.Member(ident.DaemonID(id)) })
	members.readOnly = true
	moves := newKind("moves", config.RoleEditor,
		func(e *config.Move, id string) { e.ID = ident.MoveID(id) },
		func(st *config.State, id string) (*config.Move, bool) { return st.Move(ident.MoveID(id)) })
	moves.readOnly = true
	return []kind{
		operators,
		newKind("organisations", config.RoleAdmin,
			func(e *config.Organisation, id string) { e.ID = ident.OrganisationID(id) },
			func(st *config.State, id string) (*config.Organisation, bool) {
				return st.Organisation(ident.OrganisationID(id))
			}),
		keys,
		newKind("routes", config.RoleEditor,
			func(e *config.Route, id string) { e.ID = ident.RouteID(id) },
			func(st *config.State, id string) (*config.Route, bool) { return st.Route(ident.RouteID(id)) }),
		newKind("upstreams", config.RoleEditor,
			func(e *config.Upstream, id string) { e.ID = ident.UpstreamID(id) },
			func(st *config.State, id string) (*config.Upstream, bool) { return st.Upstream(ident.UpstreamID(id)) }),
		newKind("models", config.RoleEditor,
			func(e *config.Model, id string) { e.ID = ident.ModelID(id) },
			func(st *config.State, id string) (*config.Model, bool) { return st.Model(ident.ModelID(id)) }),
		newKind("versions", config.RoleEditor,
			func(e *config.Version, id string) { e.ID = ident.VersionID(id) },
			func(st *config.State, id string) (*config.Version, bool) { return st.Version(ident.VersionID(id)) }),
		members,
		moves,
	}
}

func findOperator(st *config.State, id string) (*config.Operator, bool) {
	for _, op := range st.Operators() {
		if string(op.ID) == id {
			return op, true
		}
	}
	return nil, false
}

func findKey(st *config.State, id string) (*config.Key, bool) {
	for _, key := range st.Keys() {
		if string(key.ID) == id {
			return key, true
		}
	}
	return nil, false
}

// list returns the entities of the kind that the operator may read, sorted by path.
func (k kind) list(st *config.State, op *config.Operator) []Resource {
	resources := []Resource{}
	for path, e := range st.Entities() {
		if k.matches(e) && op.HasRole(config.RoleViewer, path) {
			resources = append(resources, newResource(st, e))
		}
	}
	slices.SortFunc(resources, func(a, b Resource) int { return cmp.Compare(a.Path, b.Path) })
	return resources
}

// Resource is an entity with its path and revision.
type Resource struct {
	Path     ident.Path    `json:"path"`
	Revision ident.Offset  `json:"revision"`
	Entity   config.Entity `json:"entity"`
}

func newResource(st *config.State, e config.Entity) Resource {
	path := config.PathOf(e)
	return Resource{Path: path, Revision: st.Revision(path), Entity: e}
}
