package load

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// ControlFigures are what control has cost a daemon on average, in bytes a second of wall time. Sent and received are
// counted alike on a connection between two daemons, once at each.
type ControlFigures struct {
	Links map[meter.Link]LinkFigures `json:"links"`
	Kinds map[meter.Kind]KindFigures `json:"kinds"`
	// Total is the sum of all links in both directions.
	Total float64 `json:"totalPerSecond"`
}

// LinkFigures are the bytes on the wire of a link.
type LinkFigures struct {
	Sent     float64 `json:"sentPerSecond"`
	Received float64 `json:"receivedPerSecond"`
}

// KindFigures are the messages of a kind that are sent, answers included, and their bytes without headers and frames.
type KindFigures struct {
	Messages float64 `json:"messagesPerSecond"`
	Sent     float64 `json:"sentPerSecond"`
}

// Control measures what control costs from its start on.
type Control struct {
	began time.Time
	links map[meter.Link]meter.Count
	kinds map[meter.Kind]KindFigures
}

// Start notes the counts of all daemons of the process.
func (c *Control) Start() {
	c.began = time.Now()
	c.links = map[meter.Link]meter.Count{}
	c.kinds = map[meter.Kind]KindFigures{}
	for _, l := range meter.Links() {
		c.links[l] = l.Bytes()
	}
	for _, k := range meter.Kinds() {
		c.kinds[k] = KindFigures{Messages: float64(k.Messages()), Sent: float64(k.Bytes().Sent)}
	}
}

// Figures returns the cost since Start for each of so many daemons.
func (c *Control) Figures(daemons int) *ControlFigures {
	f := &ControlFigures{Links: map[meter.Link]LinkFigures{}, Kinds: map[meter.Kind]KindFigures{}}
	part := 1 / (time.Since(c.began).Seconds() * float64(daemons))
	for l, before := range c.links {
		n := l.Bytes().Less(before)
		link := LinkFigures{Sent: float64(n.Sent) * part, Received: float64(n.Received) * part}
		f.Links[l] = link
		f.Total += link.Sent + link.Received
	}
	for k, before := range c.kinds {
		f.Kinds[k] = KindFigures{
			Messages: (float64(k.Messages()) - before.Messages) * part,
			Sent:     (float64(k.Bytes().Sent) - before.Sent) * part,
		}
	}
	return f
}
