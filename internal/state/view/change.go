package view

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Change is the decoded content of a record of the operators or upstreams topic. Only types of this package implement it.
type Change interface {
	isChange()
}

// UpstreamRemoved reports that an upstream is no longer registered.
type UpstreamRemoved struct {
	ID ident.UpstreamID
}

// Ignored is a record that changes nothing because it can't be decoded or isn't valid; Reason says why.
type Ignored struct {
	Reason string
}

func (*Config) isChange()          {}
func (*Weights) isChange()         {}
func (*Rollout) isChange()         {}
func (*Upstream) isChange()        {}
func (*UpstreamRemoved) isChange() {}
func (*Ignored) isChange()         {}
