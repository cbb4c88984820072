package view

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// LimitStatement is what a response says about the rate at which its upstream takes requests from all daemons together.
// Only types of this package implement it.
type LimitStatement interface{ isLimitStatement() }

// NoLimit is the statement of a response that names no limit.
type NoLimit struct{}

// RateLimit is the statement of a response that names a limit. The rate is finite and not negative.
type RateLimit struct {
	Rate ident.RequestsPerSecond
}

// InvalidLimit is the statement of a response that names a limit which can't be read.
type InvalidLimit struct {
	Value string
}

func (*NoLimit) isLimitStatement()      {}
func (*RateLimit) isLimitStatement()    {}
func (*InvalidLimit) isLimitStatement() {}
