package serve

import "time"

const readHeaderTimeout = 10 * time.Second
