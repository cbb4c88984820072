package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// countedStore counts and times the calls of the platform's store.
type countedStore struct {
	extern.Store
}

// Newest returns the newest record of each key.
func (s countedStore) Newest(ctx context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	begun := time.Now()
	batch, err := s.Store.Newest(ctx, topic)
	countCall("newest", topic, begun, err)
	return batch, err
}

// Read returns records from the offset on.
func (s countedStore) Read(
	ctx context.Context, topic extern.Topic, from ident.Offset, wait time.Duration,
) (extern.StoreBatch, error) {
	begun := time.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	countCall("read", topic, begun, err)
	return batch, err
}

// Put writes a record, under the condition that the topic ends at end unless that is nil.
func (s countedStore) Put(
	ctx context.Context, topic extern.Topic, key string, value []byte, end *ident.Offset,
) (ident.Offset, error) {
	begun := time.Now()
	offset, err := s.Store.Put(ctx, topic, key, value, end)
	countCall("put", topic, begun, err)
	return offset, err
}

func countCall(call string, topic extern.Topic, begun time.Time, err error) {
	outcome := "good"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayStoreCalls{call=%q,topic="%v",outcome=%q}`, call, topic, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`gooseberrywayStoreCallSeconds{call=%q}`, call)).Update(time.Since(begun).Seconds())
}
