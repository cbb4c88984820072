// Package httpc sends HTTP requests for the adapters of outside systems. It holds one tuned connection pool
// for each kind of outside system and tells of a failed request whether any byte of it can have left.
package httpc
