package config

import (
	"fmt"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Top-level directories of the configuration tree.
const (
	platformRoot = "/platform"
	teamsRoot    = "/teams"
	membersRoot  = "/members"
)

// PathOf returns the path at which an entity is stored.
func PathOf(e Entity) ident.Path {
	switch e := e.(type) {
	case *Operator:
		return joinPath(platformRoot, "operators", string(e.ID))
	case *Organisation:
		return joinPath(teamsRoot, string(e.Team), "organisations", string(e.ID))
	case *Key:
		return joinPath(teamsRoot, string(e.Team), "keys", string(e.ID))
	case *Route:
		return joinPath(teamsRoot, string(e.Team), "routes", string(e.ID))
	case *Upstream:
		return joinPath(platformRoot, "upstreams", string(e.ID))
	case *Model:
		return joinPath(platformRoot, "models", string(e.ID))
	case *Version:
		return joinPath(platformRoot, "versions", string(e.Model), string(e.ID))
	case *Setting:
		return e.Path
	case *Member:
		return joinPath(membersRoot, string(e.ID))
	case *Move:
		return joinPath(teamsRoot, string(e.Team), "moves", string(e.ID))
	default:
		panic(fmt.Sprintf("config: unknown entity type %T", e))
	}
}

// SubtreeContains reports whether the path is the root of the subtree or below it.
func SubtreeContains(subtree, path ident.Path) bool {
	prefix := strings.TrimSuffix(string(subtree), "/")
	return string(path) == prefix || strings.HasPrefix(string(path), prefix+"/")
}

func joinPath(parts ...string) ident.Path {
	return ident.Path(strings.Join(parts, "/"))
}
