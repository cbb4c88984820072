package intake

import "time"

const (
	// lineBytes is the memory of a parsed header line beside its own bytes: an entry of the map, a slice of values and two strings. byteCopies is how
	// often the bytes of a head are held: in a buffer and as strings.
	lineBytes  = 256
	byteCopies = 2
	// connBytes is the memory of a connection without a request: a goroutine's stack and two buffers.
	connBytes = 16 << 10
	// tlsBytes and http2Bytes are what TLS and HTTP/2 add to that, streamBytes is the memory of a request with HTTP/2 beside its head.
	tlsBytes    = 32 << 10
	http2Bytes  = 32 << 10
	streamBytes = 16 << 10
	// http2Streams is the number of requests that may be open on a connection with HTTP/2. Up to five times as many wait on it before a handler sees them.
	http2Streams = 16
	// http2Window is how much of a body may be sent before it is read, http2FrameBytes the largest frame and http2TableBytes the size of the table of fields.
	http2Window     = 64 << 10
	http2FrameBytes = 16 << 10
	http2TableBytes = 4 << 10
	// maxReadAhead is how much is read of a connection with HTTP/2 while a write waits for the client.
	maxReadAhead = 16 << 10
	// firstBodyBytes is the memory that is taken first for a body of unknown length, maxCountedRead the largest part for which memory is taken at once,
	// and growthCopies how often a body is held that grows.
	firstBodyBytes = 16 << 10
	maxCountedRead = 16 << 10
	growthCopies   = 2
	// defaultConns is the number of connections if the resources of the machine aren't known.
	defaultConns = 8192
	// unreadDivisor is what part of the machine's memory the receive buffers of the first connections of clients take together, which get the larger ones.
	// bufferOffset is the number of connections from which on they get smaller.
	unreadDivisor  = 10
	bufferDivisor  = 8
	bufferOffset   = 16
	minBufferBytes = 4 << 10
	maxBufferBytes = 64 << 10
	// reservedDescriptors are those for files; each connection of a client may need another one to an upstream.
	reservedDescriptors = 200
	descriptorsPerConn  = 2
	minConns            = 16
	// slopBytes is what net/http reads of a head beyond the limit that it is given.
	slopBytes = 4 << 10
	// stallTimeout is how long a read or a write may go without a byte if the server sets no deadline of its own.
	stallTimeout = 30 * time.Second
	// minRetryAfter is the shortest Retry-After in seconds, retryAfterSpread the number of those that are given at random.
	minRetryAfter    = 1
	retryAfterSpread = 3
	// writeCheckPeriod is how often a write in progress is looked at for progress, more often than clients without any are closed for others.
	writeCheckPeriod = 400 * time.Millisecond
	// refusalTimeout bounds how long a refused connection waits for its client to read the refusal.
	refusalTimeout = 100 * time.Millisecond
	// logInterval is the time between two log lines on refused and closed connections.
	logInterval = time.Second
)
