// Package moves shifts traffic from one version of a model to another. From the configuration, the outcomes of
// requests and the digests of other daemons it decides which version each request goes to, whether the new version
// performs worse than the old one over the same time, when the new version's share grows, and when it is taken back.
//
// Splitter picks the version on the request path. Monitor counts the outcomes of requests and exchanges the counts
// with the other daemons. Judge turns the counts into verdicts. Controller runs on every daemon: it stops a bad
// version on this daemon at once, and on the one daemon that owns a move it writes the records that advance, finish
// or take back the move. Updater applies an operator's changes to a move.
package moves
