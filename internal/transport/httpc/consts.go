package httpc

import "time"

// Defaults of a Pool.
const (
	defaultDialTimeout    = 2 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultIdlePerHost    = 256
	defaultResponseHeader = 4 << 10 // bytes of the read buffer of a connection
	maxHeaderBytes        = 64 << 10
	maxDocumentBytes      = 16 << 20
)
