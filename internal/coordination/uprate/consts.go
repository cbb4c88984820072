package uprate

import "time"

// The users count the requests that an upstream gets in 4 s from all daemons: at most one and a half times what its
// limit allows, and five more. That leaves room for bursts of two seconds' worth of the limit and five requests. The
// shares use half of it; the rest is for daemons that disagree for a while about who holds a share.
const (
	jointBurst        = 2.5
	jointBurstSeconds = 1.0
)

const (
	// minShareRate is the smallest share that a limit is divided into, in requests per second. Smaller shares let the
	// bursts of many daemons add up to more than a small limit.
	minShareRate = 0.5
	// minRate is the rate, in requests per second, at which requests are sent to an upstream that names a smaller one,
	// as only responses tell that the limit no longer holds.
	minRate = 0.1
	// memberMemory is how long a limit is divided by the number of members that there were. A daemon that is cut off
	// from its peers for so long must not take their shares.
	memberMemory = 20 * time.Second
	// newsTTL is how long a daemon repeats to its peers what it has observed itself.
	newsTTL = 10 * time.Second
	// confirmTTL is how long a limit is kept that no response and no holder of a share confirms. liftedTTL is how long
	// it is remembered that a limit was lifted.
	confirmTTL = 20 * time.Second
	liftedTTL  = 30 * time.Second
	// liftTolerance is by how much a peer's news of a limit must be newer than the end of the limit, as the age of news
	// doesn't include its way.
	liftTolerance = 300 * time.Millisecond
	// maxNews bounds the number of limits in one heartbeat.
	maxNews = 512
)
