package cold

import "time"

const (
	// window is the time within which a slot allows one request: the second of the bound, and what the ways from the
	// decision to the arrival of two requests differ by.
	window = 1100 * time.Millisecond
	// usableShare is the part of the bound that is divided into slots. The rest is for daemons that disagree about who is
	// active, and for late sends.
	usableShare = 0.8
	// maxSlots bounds the slots of an upstream. Nothing comes near it.
	maxSlots = 1 << 16
	// memberMemory is how long a daemon that is no longer active keeps its slots. It is the time for which the fleet
	// remembers silent daemons.
	memberMemory = 20 * time.Second
	// lostAfter is how long after it last heard most of the others a daemon gives its slots up, before these take them. It
	// also binds a daemon that was frozen for longer.
	lostAfter = memberMemory - settleTime
	// settleTime is how long a daemon waits before it uses slots that it takes over: a heartbeat in a large fleet, and the
	// window of the daemon that held them.
	settleTime = 2 * time.Second
	// startupTime is how long after the first list of upstreams others are taken to have been there before.
	startupTime = 3 * time.Second
)
