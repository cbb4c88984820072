package burn

import "time"

const (
	// stripes spread the recorders of many goroutines; a power of two.
	stripes = 32
	// maxSeries bounds the series of one stripe; further organisations of a route share one.
	maxSeries = 1024
	// idleAfter is the time without requests after which a series is dropped.
	idleAfter = 75 * time.Hour

	// Rates of burn, in multiples of the rate that spends the budget of a window in that window.
	fastBurn = 14.4
	slowBurn = 6
	// minRequests and minBad are what the longer window of a pair must hold for an alert.
	minRequests = 10
	minBad      = 2

	// Objectives where the settings give none.
	defaultAvailability = 0.999
	defaultLatency      = 0.95
	defaultOnTime       = 0.99
	defaultTTFTMillis   = 630
	defaultITLMillis    = 41
)

// levels are rings of bins of growing length; each window is read from the finest level that covers it.
var levels = [...]struct {
	bin  time.Duration
	bins int
}{
	{time.Minute, 6},
	{5 * time.Minute, 13},
	{30 * time.Minute, 13},
	{3 * time.Hour, 25},
}

// Window names a window of time.
type Window string

// Windows of a report.
const (
	Window5m  Window = "5m"
	Window30m Window = "30m"
	Window1h  Window = "1h"
	Window6h  Window = "6h"
	Window3d  Window = "3d"
)

// windows are all windows with their level and length in bins.
var windows = [...]struct {
	name   Window
	length time.Duration
	level  int
}{
	{Window5m, 5 * time.Minute, 0},
	{Window30m, 30 * time.Minute, 1},
	{Window1h, time.Hour, 1},
	{Window6h, 6 * time.Hour, 2},
	{Window3d, 72 * time.Hour, 3},
}
