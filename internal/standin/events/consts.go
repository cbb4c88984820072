package events

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const heartbeatEvery = 5 * time.Second

// maxKept is the number of events that a reader can be behind without a resync.
const maxKept = 4096

type sequence = ident.Sequence
