package member

import (
	"cmp"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ChangeStatus says how far a record has spread, as far as this daemon knows.
type ChangeStatus struct {
	Offset ident.Offset `json:"offset"`
	// Accepted is true once a majority of the daemons has acknowledged the record: the fleet will not lose it.
	Accepted bool `json:"accepted"`
	// InForce is true once no serving daemon can be without the record.
	InForce bool `json:"inForce"`
	// AppliedCount is the number of the MemberCount daemons that are known to have applied the record.
	AppliedCount int `json:"applied"`
	MemberCount  int `json:"members"`
	// Missing lists the other daemons.
	Missing []ident.DaemonID `json:"missing,omitempty"`
}

// AppliedByAll reports whether all daemons are known to have applied the record.
func (s ChangeStatus) AppliedByAll() bool {
	return s.MemberCount > 0 && s.AppliedCount == s.MemberCount
}

// Status returns how far the record at the offset has spread.
func (v *View) Status(offset ident.Offset) ChangeStatus {
	status := ChangeStatus{Offset: offset, InForce: v.InForce.Offset() >= offset, MemberCount: len(v.Members)}
	for _, p := range v.Members {
		if cmp.Compare(p.Applied, offset) >= 0 {
			status.AppliedCount++
		} else {
			status.Missing = append(status.Missing, p.ID)
		}
	}
	status.Accepted = status.InForce || (status.MemberCount > 0 && status.AppliedCount >= inForceQuorum(status.MemberCount))
	return status
}
