package load

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// ControlTraffic are what control has cost a daemon on average, in bytes a second of wall time. Sent and received are
// counted alike on a connection between two daemons, once at each.
type ControlTraffic struct {
	Links map[meter.Link]LinkTraffic `json:"links"`
	Kinds map[meter.Kind]KindTraffic `json:"kinds"`
	// BytesPerSecond is the sum of all links in both directions.
	BytesPerSecond float64 `json:"totalPerSecond"`
}

// LinkTraffic are the bytes on the wire of a link.
type LinkTraffic struct {
	SentBytesPerSecond     float64 `json:"sentPerSecond"`
	ReceivedBytesPerSecond float64 `json:"receivedPerSecond"`
}

// KindTraffic are the messages of a kind that are sent, answers included, and their bytes without headers and frames.
type KindTraffic struct {
	MessagesPerSecond  float64 `json:"messagesPerSecond"`
	SentBytesPerSecond float64 `json:"sentPerSecond"`
}

// ControlMeter measures what control costs from its start on.
type ControlMeter struct {
	began time.Time
	links map[meter.Link]meter.ByteCount
	kinds map[meter.Kind]KindTraffic
}

// Start notes the counts of all daemons of the process.
func (c *ControlMeter) Start() {
	c.began = time.Now()
	c.links = map[meter.Link]meter.ByteCount{}
	c.kinds = map[meter.Kind]KindTraffic{}
	for _, l := range meter.Links() {
		c.links[l] = l.Bytes()
	}
	for _, k := range meter.Kinds() {
		c.kinds[k] = KindTraffic{MessagesPerSecond: float64(k.Messages()), SentBytesPerSecond: float64(k.Bytes().Sent)}
	}
}

// Traffic returns the cost since Start for each of so many daemons.
func (c *ControlMeter) Traffic(daemons int) *ControlTraffic {
	f := &ControlTraffic{Links: map[meter.Link]LinkTraffic{}, Kinds: map[meter.Kind]KindTraffic{}}
	part := 1 / (time.Since(c.began).Seconds() * float64(daemons))
	for l, before := range c.links {
		n := l.Bytes().Sub(before)
		link := LinkTraffic{SentBytesPerSecond: float64(n.Sent) * part, ReceivedBytesPerSecond: float64(n.Received) * part}
		f.Links[l] = link
		f.BytesPerSecond += link.SentBytesPerSecond + link.ReceivedBytesPerSecond
	}
	for k, before := range c.kinds {
		f.Kinds[k] = KindTraffic{
			MessagesPerSecond:  (float64(k.Messages()) - before.MessagesPerSecond) * part,
			SentBytesPerSecond: (float64(k.Bytes().Sent) - before.SentBytesPerSecond) * part,
		}
	}
	return f
}
