package memory

import "time"

const (
	// CollectorShare is the part of the process' memory from which on the garbage collector runs more often. The runtime counts neither the binary nor
	// what the kernel holds for the process, such as bytes that were not read yet.
	CollectorShare = 0.65
	// liveShare is the part of that memory that may be in use. The rest is for garbage, and for what is freed some moments after its client was closed.
	liveShare = 0.75
	// minRoomDivisor is what part of the process' memory clients get however large its own state is.
	minRoomDivisor = 8
	// leavingDivisor is what part of the memory may be given out again before the clients that were closed have given it back.
	leavingDivisor = 4
	// largeBytes is the size from which a piece may use only a part of the memory, so that a few clients with large requests leave room for all others.
	largeBytes Bytes = 64 << 10
	// largeShare is the part of all room for large pieces, in quarters.
	largeShare = 3
	quarters   = 4
	// smallBodiesDivisor is what part of the budget bodies may take that keep no large one out.
	smallBodiesDivisor = 8
	// progressBytes is how much a client has to send for progress within a request.
	progressBytes = 4 << 10
	// stallTime is how long a client may make no progress before it is closed for another one. Refusals ask callers to return after as long.
	stallTime = time.Second
	// samplePeriod is the shortest time between two estimates of the process' own state.
	samplePeriod = 100 * time.Millisecond
)

// budgetDivisors is what part of the process' memory each use may take.
var budgetDivisors = [uses]Bytes{Connections: 4, Heads: 8, Bodies: 5, Requests: 2}

// defaultBudgets are those of a process whose memory isn't known.
var defaultBudgets = amounts{Connections: 256 << 20, Heads: 16 << 20, Bodies: 24 << 20, Requests: 512 << 20}

// largeShares are the parts of the budgets for large pieces, in quarters. Parsed heads stay for a while after their connections have been closed.
var largeShares = [uses]Bytes{Connections: 4, Heads: 2, Bodies: 3, Requests: 3}
