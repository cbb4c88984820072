package httpc

import "time"

// Defaults and limits of a Pool.
const (
	defaultDialTimeout      = 2 * time.Second
	defaultIdleTimeout      = 60 * time.Second
	defaultIdleConnsPerHost = 256
	readBufferBytes         = 4 << 10  // read buffer of a connection
	maxHeaderBytes          = 64 << 10 // response header
	maxDocumentBytes        = 16 << 20 // JSON document of GetJSON
	maxNotedKeys            = 32       // keys noted on a connection
)
