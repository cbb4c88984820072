package load

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// ControlTraffic is the average control traffic of a daemon, in bytes per second of wall time. A byte between two daemons
// counts twice: as sent by one and as received by the other.
type ControlTraffic struct {
	Links map[meter.Link]LinkTraffic `json:"links"`
	Kinds map[meter.Kind]KindTraffic `json:"kinds"`
	// BytesPerSecond is the sum over all links and both directions.
	BytesPerSecond float64 `json:"totalPerSecond"`
}

// LinkTraffic is the traffic of a link, in bytes on the wire.
type LinkTraffic struct {
	SentBytesPerSecond     float64 `json:"sentPerSecond"`
	ReceivedBytesPerSecond float64 `json:"receivedPerSecond"`
}

// KindTraffic is the rate of sent messages of a kind, responses included, and of their bytes without headers and frames.
type KindTraffic struct {
	MessagesPerSecond  float64 `json:"messagesPerSecond"`
	SentBytesPerSecond float64 `json:"sentPerSecond"`
}

// ControlMeter measures the control traffic of all daemons in this process from Start on.
type ControlMeter struct {
	startedAt time.Time
	// links and kinds are the counts at Start. Those in kinds are totals, although its fields are named as rates.
	links map[meter.Link]meter.ByteCount
	kinds map[meter.Kind]KindTraffic
}

// Start records the present counts, from which Traffic measures.
func (c *ControlMeter) Start() {
	c.startedAt = time.Now()
	c.links = map[meter.Link]meter.ByteCount{}
	c.kinds = map[meter.Kind]KindTraffic{}
	for _, l := range meter.Links() {
		c.links[l] = l.Bytes()
	}
	for _, k := range meter.Kinds() {
		c.kinds[k] = KindTraffic{MessagesPerSecond: float64(k.Messages()), SentBytesPerSecond: float64(k.Bytes().Sent)}
	}
}

// Traffic returns the average traffic of a daemon since Start, for a process with the given number of daemons.
func (c *ControlMeter) Traffic(daemons int) *ControlTraffic {
	traffic := &ControlTraffic{Links: map[meter.Link]LinkTraffic{}, Kinds: map[meter.Kind]KindTraffic{}}
	perDaemonSecond := 1 / (time.Since(c.startedAt).Seconds() * float64(daemons))
	for l, before := range c.links {
		n := l.Bytes().Sub(before)
		link := LinkTraffic{SentBytesPerSecond: float64(n.Sent) * perDaemonSecond, ReceivedBytesPerSecond: float64(n.Received) * perDaemonSecond}
		traffic.Links[l] = link
		traffic.BytesPerSecond += link.SentBytesPerSecond + link.ReceivedBytesPerSecond
	}
	for k, before := range c.kinds {
		traffic.Kinds[k] = KindTraffic{
			MessagesPerSecond:  (float64(k.Messages()) - before.MessagesPerSecond) * perDaemonSecond,
			SentBytesPerSecond: (float64(k.Bytes().Sent) - before.SentBytesPerSecond) * perDaemonSecond,
		}
	}
	return traffic
}
