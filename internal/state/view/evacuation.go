package view

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Evacuation is an operator's request that the upstreams of a failure domain get no requests, or, if Ended is set, the end of that request.
type Evacuation struct {
	FailureDomain ident.FailureDomain
	Ended         bool
	// Offset is the position of the record in the topic.
	Offset ident.Offset
}

func (*Evacuation) isChange() {}
