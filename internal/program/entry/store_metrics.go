package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// instrumentedStore counts and times the calls of the platform store.
type instrumentedStore struct {
	extern.Store
}

// Newest returns the newest record of each key of a topic.
func (s instrumentedStore) Newest(ctx context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	start := time.Now()
	batch, err := s.Store.Newest(ctx, topic)
	recordCall("newest", topic, start, err)
	reportUnreadable(topic, batch)
	return batch, err
}

// Read returns the records of a topic from an offset on. If there are none yet, it waits for them up to the given
// time.
func (s instrumentedStore) Read(
	ctx context.Context, topic extern.Topic, from ident.Offset, wait time.Duration,
) (extern.StoreBatch, error) {
	start := time.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	recordCall("read", topic, start, err)
	reportUnreadable(topic, batch)
	return batch, err
}

// Put writes a record and returns its offset. Unless end is nil, the write succeeds only if the topic still ends at
// that offset.
func (s instrumentedStore) Put(
	ctx context.Context, topic extern.Topic, key string, value []byte, end *ident.Offset,
) (ident.Offset, error) {
	start := time.Now()
	offset, err := s.Store.Put(ctx, topic, key, value, end)
	recordCall("put", topic, start, err)
	return offset, err
}

// reportUnreadable tells of records that were left out.
func reportUnreadable(topic extern.Topic, batch extern.StoreBatch) {
	if batch.Unreadable == 0 {
		return
	}
	klog.InfoS("Records can't be read and are left out", "topic", topic, "records", batch.Unreadable, "next", batch.Next)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUnreadableRecords{topic="%v"}`, topic)).Add(batch.Unreadable)
}

func recordCall(call string, topic extern.Topic, start time.Time, err error) {
	outcome := "good"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayStoreCalls{call=%q,topic="%v",outcome=%q}`, call, topic, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayStoreCallSeconds{call=%q}`, call)).Update(time.Since(start).Seconds())
}
