package claim

import (
	"crypto/rand"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// newRecordID returns a unique id, by which a batch is found again in the log.
func newRecordID(self ident.DaemonID) string {
	return string(self) + "-" + rand.Text()
}
