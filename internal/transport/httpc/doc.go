// Package httpc sends HTTP requests to outside systems. It provides a connection pool for each kind of system, reports of a
// failed request whether any byte of it may have been sent, and classifies failures as upstream errors.
package httpc
