// Package moves decides how traffic shifts from one version of a model to another: which version a request goes to,
// how the new version does against the old one at the same time, when the share grows, and when it is taken back.
//
// Splitter answers on the request path. Watch counts what became of requests and exchanges the counts with the
// other daemons. Judge turns the counts into verdicts. Owner, on every daemon, stops a version on this daemon's
// evidence at once; on the one daemon that owns the move it writes the records that advance, finish or take back
// the move. Steering changes a move for an operator.
package moves
