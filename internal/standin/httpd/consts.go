package httpd

import "time"

const (
	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 16 << 20
)
