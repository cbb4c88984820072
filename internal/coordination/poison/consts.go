package poison

import "time"

const (
	// minCrashes is the number of crashes that quarantine a subject without a known answer, minCrashesIfAnswered the number
	// for one that has been answered before them, and the most for a whole request.
	minCrashes           = 3
	minCrashesIfAnswered = 5
	// extraCrashes are added for a part if less than two thirds of the ends of upstreams had it, manyExtraCrashes if less than a
	// third; extraWholeCrashes are added for a whole request, up to minCrashesIfAnswered.
	extraCrashes      = 2
	manyExtraCrashes  = 5
	extraWholeCrashes = 1
	// minCrashesOfMember is the number of further crashes that quarantine a single part of a quarantined set.
	minCrashesOfMember = 2
	// crashSpacing is the shortest time between crashes that count separately: upstreams that end together, as those of
	// a rack do, ended for one reason.
	crashSpacing = 250 * time.Millisecond
	// wholeCrashSpacing is the same for the crashes under one whole request, which may be sent again as soon as its upstream ended.
	wholeCrashSpacing = 50 * time.Millisecond
	// endWindow is how long after a request broke the end of its upstream still counts as its effect.
	endWindow = 10 * time.Second
	// answerStartWindow is how long after its first event a response counts as beginning. Upstreams crash when they begin
	// to answer a deadly request, so a response that has gone on for longer did not cause the crash.
	answerStartWindow = 500 * time.Millisecond
	// evidenceTTL is how long an incident counts.
	evidenceTTL = 10 * time.Minute
	// answerGeneration is how long answers are remembered at least; at most twice as long.
	answerGeneration = 30 * time.Second
	// newsRepeat is how long a daemon repeats its own news in each heartbeat, in case some are lost.
	newsRepeat = 3 * time.Second
	// relayTTL is how long daemons repeat what peers have told, for those that missed it. Parts with several incidents are
	// repeated for as long as these count.
	relayTTL = 30 * time.Second
	// minNewsDelay is the age of evidence from which on it can quarantine a part: peers have told by then whether they
	// know of answers.
	minNewsDelay = 250 * time.Millisecond
	// retryEvidenceWait bounds how long a broken request waits for evidence that its parts are sound.
	retryEvidenceWait = 400 * time.Millisecond
	retryEvidenceTick = 10 * time.Millisecond
	// quarantineTerm is how long a part is quarantined for the first time. Each further time doubles it, up to maxTerm.
	quarantineTerm = 10 * time.Minute
	maxTerm        = 6 * time.Hour
	// probeRound is how long one daemon may probe a part whose term has ended, before it is another daemon's turn.
	probeRound = 10 * time.Second
	// releasedTTL is how long the release of a part is remembered, so that late news doesn't quarantine it again.
	releasedTTL = 10 * time.Minute
)

// Bounds of memory and of messages.
const (
	// maxSuspects bounds the parts under suspicion, maxWholeSuspects the whole requests.
	maxSuspects         = 512
	maxWholeSuspects    = 1024
	maxIncidents        = 32
	maxEnds             = 256
	maxPendingUpstreams = 256
	maxPendingBreaks    = 128
	maxAnswers          = 8192
	maxQuarantines      = 256
	maxSetParts         = 8
	maxNewsIncidents    = 64
	maxNewsAnswers      = 64
	maxNewsQuarantines  = 32
	// maxIdleQuarantines bounds the quarantines that don't change in a heartbeat to daemons without traffic.
	maxIdleQuarantines = 4
)
