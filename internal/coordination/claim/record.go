package claim

import (
	"crypto/rand"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// newRecordID returns an id that no other record has.
func newRecordID(self ident.DaemonID) string {
	return string(self) + "-" + rand.Text()
}
