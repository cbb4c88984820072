package view

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Change is what a record of operators or upstreams says. The set of changes is closed.
type Change interface {
	isChange()
}

// UpstreamRemoved says that an upstream is no longer registered.
type UpstreamRemoved struct {
	ID ident.UpstreamID
}

// Ignored is a record that names nothing to use.
type Ignored struct {
	Reason string
}

func (*Config) isChange()          {}
func (*Weights) isChange()         {}
func (*Rollout) isChange()         {}
func (*Upstream) isChange()        {}
func (*UpstreamRemoved) isChange() {}
func (*Ignored) isChange()         {}
