package daemon

import (
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// versions chooses the current version of a model.
type versions struct {
	state func() *config.State
}

// Version implements serve.Versions.
func (v versions) Version(model ident.ModelID, _ ident.RouteID, _ ident.OrganisationID, _ ident.RequestID, _ uint64) (ident.VersionID, bool) {
	m, ok := v.state().Model(model)
	if !ok {
		return "", false
	}
	return m.CurrentVersion, true
}
