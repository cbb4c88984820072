package config

import (
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// rank orders the roles; 0 is no role.
func (r Role) rank() int {
	switch r {
	case RoleViewer:
		return 1
	case RoleEditor:
		return 2
	case RoleAdmin:
		return 3
	default:
		return 0
	}
}

// Includes reports whether the role allows all that other allows.
func (r Role) Includes(other Role) bool {
	return r.rank() >= other.rank() && other.rank() > 0
}

// HasRole reports whether the operator has the role, or a higher one, at the path.
func (o *Operator) HasRole(role Role, path ident.Path) bool {
	for _, grant := range o.Grants {
		if Covers(grant.Subtree, path) && grant.Role.Includes(role) {
			return true
		}
	}
	return false
}

// CanGrant reports whether the operator may give the grants to another: an admin of each subtree may.
func (o *Operator) CanGrant(grants []RoleGrant) bool {
	for _, grant := range grants {
		if !o.HasRole(RoleAdmin, grant.Subtree) {
			return false
		}
	}
	return true
}
