package replay

import (
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// outcomes holds the results of the last maxOutcomes records by record id.
type outcomes struct {
	byID  map[ident.RecordID]Result
	order []ident.RecordID
}

// add stores the result of a record unless its id is known: of several copies in the log only the first takes effect.
func (o *outcomes) add(id ident.RecordID, result Result) {
	if o.byID == nil {
		o.byID = map[ident.RecordID]Result{}
	}
	if _, known := o.byID[id]; known || id == "" {
		return
	}
	if len(o.order) >= maxOutcomes {
		delete(o.byID, o.order[0])
		o.order = o.order[1:]
	}
	o.byID[id] = result
	o.order = append(o.order, id)
}

func (o *outcomes) get(id ident.RecordID) (Result, bool) {
	result, ok := o.byID[id]
	return result, ok
}
