package claim

import "time"

const (
	// Slices is the number of slices that the idempotency keys are divided into.
	Slices = 256
	// DefaultRetention is how long a claimed key is remembered when Claimer.Window is 0.
	DefaultRetention = 10 * time.Minute
	// defaultLinger is how long a claim waits for others to share its append.
	defaultLinger = 2 * time.Millisecond
	// maxBatch is the number of claims in one append.
	maxBatch = 512
	// defaultMaxAnswerBytes and defaultMaxKeptBytes bound one kept answer and all of them.
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxKeptBytes   = 16 << 20

	// askTimeout limits one exchange with the owner of a slice.
	askTimeout = 2 * time.Second
	// askAttempts is how often a claim is sent when answers are lost.
	askAttempts = 2
	// retryAfter is announced when a slice can't decide now.
	retryAfter = time.Second

	// appendTimeout limits one append; afterwards its outcome is unknown.
	appendTimeout = time.Second
	// appendBackoffMin and appendBackoffMax bound the pause before an append is repeated.
	appendBackoffMin = 5 * time.Millisecond
	appendBackoffMax = 500 * time.Millisecond
	// outageAfter is how long a claim waits for its append before it is copied to the backup.
	outageAfter = 500 * time.Millisecond
	// copyInterval is how often claims are looked through for copies that are due.
	copyInterval = 20 * time.Millisecond
	// copyTimeout limits one exchange with a backup.
	copyTimeout = 500 * time.Millisecond

	// ownInterval is how often the ownership of slices is looked up.
	ownInterval = 250 * time.Millisecond
	// sampleInterval is how often the end of the claims stream is noted, to know where a replay starts.
	sampleInterval = time.Minute
	// replayWindows is how many windows a replay goes back.
	replayWindows = 2
	// farOffset is beyond the end of any stream.
	farOffset = 1 << 62
	// readEntries is the number of records in one read.
	readEntries = 256
	// marksPerWindow is how often in a window an owner repeats its marks, so that replays find them.
	marksPerWindow = 2
)
