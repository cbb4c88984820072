package view

// RejectionStatement is what a response says about how many requests its upstream can reject. Only types of this package
// implement it.
type RejectionStatement interface{ isRejectionStatement() }

// NoRejectionLimit is the statement of a response that names no limit.
type NoRejectionLimit struct{}

// RejectionLimit is the statement of an upstream that falls over when it has to reject more requests than PerSecond within
// a second, of all daemons together. It is finite and not negative.
type RejectionLimit struct {
	PerSecond float64
}

// InvalidRejectionLimit is the statement of a response that names a limit which can't be read.
type InvalidRejectionLimit struct {
	Value string
}

func (*NoRejectionLimit) isRejectionStatement()      {}
func (*RejectionLimit) isRejectionStatement()        {}
func (*InvalidRejectionLimit) isRejectionStatement() {}
