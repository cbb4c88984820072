package claim

import "time"

const (
	// Slices is the number of slices that the idempotency keys are divided into.
	Slices = 256
	// DefaultRetention is how long a claimed key is remembered when Claimer.Retention is 0.
	DefaultRetention = 10 * time.Minute
	// defaultLinger is how long a claim waits for others to share its append when Claimer.Linger is 0.
	defaultLinger = 2 * time.Millisecond
	// maxBatchClaims bounds the claims in one append.
	maxBatchClaims = 512
	// defaultMaxAnswerBytes and defaultMaxTotalAnswerBytes bound one stored answer and all of them together.
	defaultMaxAnswerBytes      = 64 << 10
	defaultMaxTotalAnswerBytes = 16 << 20

	// claimTimeout limits one exchange with the owner of a slice.
	claimTimeout = 2 * time.Second
	// maxClaimAttempts is how often a claim or its end is sent to the owner when responses are lost.
	maxClaimAttempts = 2
	// defaultRetryAfter is the Retry-After of a slice that can't decide claims now.
	defaultRetryAfter = time.Second

	// appendTimeout limits one append or read of the log; an append that exceeds it has an unknown outcome.
	appendTimeout = time.Second
	// appendBackoffMin and appendBackoffMax bound the pause before an append is repeated.
	appendBackoffMin = 5 * time.Millisecond
	appendBackoffMax = 500 * time.Millisecond
	// logOutageAfter is how long a claim waits for its append before it is copied to the backup.
	logOutageAfter = 500 * time.Millisecond
	// copyInterval is the interval of checks for claims that are due to be copied.
	copyInterval = 20 * time.Millisecond
	// backupTimeout limits one exchange with a backup or a former owner.
	backupTimeout = 500 * time.Millisecond

	// ownershipInterval is how often the ownership of all slices is checked.
	ownershipInterval = 250 * time.Millisecond
	// tailSampleInterval is how often the tail of the claims stream is sampled. The samples give the offset at which
	// a replay starts.
	tailSampleInterval = time.Minute
	// replayRetentions is how many retentions a replay goes back.
	replayRetentions = 2
	// offsetBeyondEnd is beyond the end of any stream.
	offsetBeyondEnd = 1 << 62
	// readPageRecords bounds the records in one read.
	readPageRecords = 256
	// marksPerRetention is how often in a retention an owner repeats its marks, so that replays find them.
	marksPerRetention = 2
)
