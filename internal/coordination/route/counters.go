package route

import (
	"sync"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// counters holds a counter for each organisation. Reads take no lock.
type counters struct {
	byID sync.Map
}

// get returns the counter of an organisation, which it adds if need be.
func (m *counters) get(org ident.OrganisationID) *counter {
	v, ok := m.byID.Load(org)
	if !ok {
		v, _ = m.byID.LoadOrStore(org, &counter{})
	}
	c, _ := v.(*counter)
	return c
}

func (m *counters) each(f func(ident.OrganisationID, *counter)) {
	m.byID.Range(func(k, v any) bool {
		org, _ := k.(ident.OrganisationID)
		c, _ := v.(*counter)
		f(org, c)
		return true
	})
}
