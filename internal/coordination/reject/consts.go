package reject

import "time"

const (
	// riskShare is the part of a rejection limit that daemons plan with. The rest is for rejections that they don't
	// foresee, and for daemons that disagree for a while about who holds a share.
	riskShare = 0.5
	// rejectionWindow is the time in which an upstream counts its rejections.
	rejectionWindow = time.Second
	// minRisk is the lowest rate of rejections, in requests per second, by which daemons find out that an upstream has
	// room again.
	minRisk = 0.05
	// retryPeriod is after which time to ask again for a place at an upstream all of whose places are taken.
	retryPeriod = 100 * time.Millisecond
	// maxPause bounds how long a daemon doesn't try whether an upstream takes more requests again.
	maxPause = time.Minute
	// memberMemory is how long places are divided by the number of members that there were. A daemon that is cut off
	// from its peers for so long must not take their shares.
	memberMemory = 20 * time.Second
	// newsTTL is how long a daemon tells its peers with every heartbeat what has changed.
	newsTTL = 10 * time.Second
	// newsPeriod is how often the first holders of shares, tellers of them, confirm a limit to their peers.
	newsPeriod = 2 * time.Second
	tellers    = 2
	// confirmTTL is how long a limit is kept that no response and no holder of a share confirms. liftedTTL is how long
	// it is remembered that a limit was lifted.
	confirmTTL = 20 * time.Second
	liftedTTL  = 30 * time.Second
	// liftTolerance is by how much a peer's news of a limit must be newer than the end of the limit, as the age of news
	// doesn't include its way.
	liftTolerance = 300 * time.Millisecond
	// maxNews bounds the number of limits in one heartbeat, maxIdleLifted that of lifted ones in one to daemons without
	// traffic.
	maxNews       = 512
	maxIdleLifted = 8
)
