package events

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// heartbeatInterval is the time without events after which a watcher gets a heartbeat.
const heartbeatInterval = 5 * time.Second

// maxBufferedEvents bounds the event buffer. When it is exceeded, the older half is dropped; watchers that had not read
// that far get a resync.
const maxBufferedEvents = 4096

type sequence = ident.Sequence
