package moves

import (
	"sync"
	"time"
)

// pendingSet holds the requests to one version on one route that have no first token yet, oldest first.
type pendingSet struct {
	mu sync.Mutex
	// head is a sentinel; its next is the oldest.
	head pendingNode
}

// pendingNode is one pending request. It is guarded by the mutex of its set.
type pendingNode struct {
	started    time.Time
	class      int
	counters   *counters
	overdue    bool
	prev, next *pendingNode
}

func (p *pendingSet) add(n *pendingNode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.head.next == nil {
		p.head.prev, p.head.next = &p.head, &p.head
	}
	n.prev, n.next = p.head.prev, &p.head
	n.prev.next, p.head.prev = n, n
}

// remove removes a request and reports whether it was counted as slow while it was pending.
func (p *pendingSet) remove(n *pendingNode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.prev.next, n.next.prev = n.next, n.prev
	return n.overdue
}

// countOverdue counts the requests that have exceeded the limit of their class since the last call as slow, and
// returns their number.
func (p *pendingSet) countOverdue(now time.Time, limits *[workClasses]time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.head.next == nil {
		return 0
	}
	found := 0
	for n := p.head.next; n != &p.head; n = n.next {
		limit := limits[n.class]
		if n.overdue || limit == 0 || now.Sub(n.started) <= limit {
			continue
		}
		n.overdue = true
		n.counters.ttftSamples.Add(1)
		n.counters.ttftSlow.Add(1)
		found++
	}
	return found
}
