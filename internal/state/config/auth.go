package config

import (
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// rank returns a number that is higher for roles with more rights, 0 for an unknown role.
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

// Includes reports whether the role grants every right of other. An unknown role neither includes nor is included.
func (r Role) Includes(other Role) bool {
	return r.rank() >= other.rank() && other.rank() > 0
}

// HasRole reports whether the operator has the role, or a higher one, at the path.
func (o *Operator) HasRole(role Role, path ident.Path) bool {
	for _, grant := range o.Grants {
		if SubtreeContains(grant.Subtree, path) && grant.Role.Includes(role) {
			return true
		}
	}
	return false
}

// CanGrant reports whether the operator may give the grants to another operator, which takes the admin role on each
// grant's subtree.
func (o *Operator) CanGrant(grants []RoleGrant) bool {
	for _, grant := range grants {
		if !o.HasRole(RoleAdmin, grant.Subtree) {
			return false
		}
	}
	return true
}
