package intake

import "time"

const (
	// lineBytes is the memory of a parsed header line beside its own bytes: an entry of the map, a slice of values and two strings. byteCopies is how
	// often the bytes of a head are held: in a buffer and as strings.
	lineBytes  = 256
	byteCopies = 2
	// connBytes is the memory of a connection without a request: a goroutine's stack and two buffers.
	connBytes = 16 << 10
	// largeHeadBytes is the memory of a head from which heads may use only half of the memory, so that a few clients with large heads leave room for
	// those of all others.
	largeHeadBytes = 64 << 10
	// defaultHeadBytes is the memory for heads, and defaultConns the number of connections, if those of the machine aren't known.
	defaultHeadBytes = 16 << 20
	defaultConns     = 8192
	// headMemoryDivisor is what part of the machine's memory heads may take, connMemoryDivisor what part connections may.
	headMemoryDivisor = 8
	connMemoryDivisor = 4
	// reservedDescriptors are those for files; each connection of a client may need another one to an upstream.
	reservedDescriptors = 200
	descriptorsPerConn  = 2
	minConns            = 16
	// slopBytes is what net/http reads of a head beyond the limit that it is given.
	slopBytes = 4 << 10
	// stallTimeout is how long a read or a write may go without a byte if the server sets no deadline of its own.
	stallTimeout = 30 * time.Second
	// refusalTimeout bounds how long a refused connection waits for its client to read the refusal.
	refusalTimeout = 100 * time.Millisecond
	// logInterval is the time between two log lines on refused and closed connections.
	logInterval = time.Second
)
