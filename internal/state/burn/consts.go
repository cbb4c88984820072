package burn

import "time"

const (
	// stripes is the number of independently locked parts of a Recorder, so that concurrent calls of Record rarely wait for
	// each other. It is a power of two.
	stripes = 32
	// maxSeriesPerStripe is the number of series in a stripe from which new organisations of a route share one series.
	maxSeriesPerStripe = 1024
	// seriesIdleTimeout is the time without events after which a series is dropped: the time that the coarsest level covers.
	seriesIdleTimeout = 75 * time.Hour

	// Burn rates from which an alert is raised. At a burn rate of 1 the error budget of a window is spent in exactly that
	// window.
	fastBurnRate = 14.4
	slowBurnRate = 6
	// minAlertRequests and minAlertBad are the least numbers of events and of bad events in the longer window of an alert.
	minAlertRequests = 10
	minAlertBad      = 2

	// Objectives that apply if the settings give none: shares of good events, and latency thresholds in milliseconds.
	defaultAvailabilityObjective = 0.999
	defaultLatencyObjective      = 0.95
	defaultOnTimeObjective       = 0.99
	defaultTTFTMillis            = 630
	defaultITLMillis             = 41
)

// levels are the resolutions at which a series is counted: the length of a bin and the number of bins kept. Each window is
// read from the finest level that covers it.
var levels = [...]struct {
	bin  time.Duration
	bins int
}{
	{time.Minute, 6},
	{5 * time.Minute, 13},
	{30 * time.Minute, 13},
	{3 * time.Hour, 25},
}

// Window is the name of a time window that ends now.
type Window string

// Windows of a report.
const (
	Window5m  Window = "5m"
	Window30m Window = "30m"
	Window1h  Window = "1h"
	Window6h  Window = "6h"
	Window3d  Window = "3d"
)

// windows are all windows of a report, shortest first, with their length and the index in levels from which they are read.
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
