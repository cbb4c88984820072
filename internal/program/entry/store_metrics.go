package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// instrumentedStore counts and times the calls of the platform store.
type instrumentedStore struct {
	extern.Store

	mu sync.Mutex
	// unreadable is the number of unreadable records in the last list of each topic.
	unreadable map[extern.Topic]int
}

// Newest returns the newest record of each key of a topic.
func (s *instrumentedStore) Newest(ctx context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	start := time.Now()
	batch, err := s.Store.Newest(ctx, topic)
	recordCall("newest", topic, start, err)
	s.reportListed(topic, batch)
	return batch, err
}

// Read returns the records of a topic from an offset on. If there are none yet, it waits for them up to the given
// time.
func (s *instrumentedStore) Read(
	ctx context.Context, topic extern.Topic, from ident.Offset, wait time.Duration,
) (extern.StoreBatch, error) {
	start := time.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	recordCall("read", topic, start, err)
	reportUnreadable(topic, batch.Unreadable, batch.Next)
	return batch, err
}

// Put writes a record and returns its offset. Unless end is nil, the write succeeds only if the topic still ends at
// that offset.
func (s *instrumentedStore) Put(
	ctx context.Context, topic extern.Topic, key string, value []byte, end *ident.Offset,
) (ident.Offset, error) {
	start := time.Now()
	offset, err := s.Store.Put(ctx, topic, key, value, end)
	recordCall("put", topic, start, err)
	return offset, err
}

// reportListed tells of unreadable records in a list that the list before did not have: lists are read again and again.
func (s *instrumentedStore) reportListed(topic extern.Topic, batch extern.StoreBatch) {
	s.mu.Lock()
	added := batch.Unreadable - s.unreadable[topic]
	if s.unreadable == nil {
		s.unreadable = map[extern.Topic]int{}
	}
	s.unreadable[topic] = batch.Unreadable
	s.mu.Unlock()
	reportUnreadable(topic, added, batch.Next)
}

// reportUnreadable tells of records that were left out.
func reportUnreadable(topic extern.Topic, records int, next ident.Offset) {
	if records <= 0 {
		return
	}
	klog.InfoS("Records can't be read and are left out", "topic", topic, "records", records, "next", next)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUnreadableRecords{topic="%v"}`, topic)).Add(records)
}

func recordCall(call string, topic extern.Topic, start time.Time, err error) {
	outcome := "good"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayStoreCalls{call=%q,topic="%v",outcome=%q}`, call, topic, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayStoreCallSeconds{call=%q}`, call)).Update(time.Since(start).Seconds())
}
