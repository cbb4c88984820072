package member

import (
	"cmp"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ChangeStatus tells how far a record has come. It says no more than this daemon knows.
type ChangeStatus struct {
	Offset ident.Offset `json:"offset"`
	// Accepted is true once a majority of the daemons has acknowledged the record: it will not be lost to the fleet.
	Accepted bool `json:"accepted"`
	// InForce is true once no daemon that serves can be without the record.
	InForce bool `json:"inForce"`
	// AppliedCount of Members daemons are known to use the record.
	AppliedCount int `json:"applied"`
	MemberCount  int `json:"members"`
	// Missing are the others.
	Missing []ident.DaemonID `json:"missing,omitempty"`
}

// AppliedByAll reports whether all daemons are known to use the record.
func (s ChangeStatus) AppliedByAll() bool {
	return s.MemberCount > 0 && s.AppliedCount == s.MemberCount
}

// Status tells how far the record at the offset has come.
func (v *View) Status(offset ident.Offset) ChangeStatus {
	status := ChangeStatus{Offset: offset, InForce: v.InForce.Offset() >= offset, MemberCount: len(v.Members)}
	for _, p := range v.Members {
		if cmp.Compare(p.Applied, offset) >= 0 {
			status.AppliedCount++
		} else {
			status.Missing = append(status.Missing, p.ID)
		}
	}
	status.Accepted = status.InForce || (status.MemberCount > 0 && status.AppliedCount >= forceQuorum(status.MemberCount))
	return status
}
