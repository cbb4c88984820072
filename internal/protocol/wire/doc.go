// Package wire holds the messages between daemons and the records of the log service.
// It is generated from the schema under proto by proto/generate.sh; this file is its only hand-written one.
package wire
