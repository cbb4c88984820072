package replay

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// BenchmarkReplay decodes and applies a log of 17,000 organisations and 40,000 keys in batches, as a
// starting daemon does.
func BenchmarkReplay(b *testing.B) {
	const organisations, keys = 17000, 40000
	var raw []extern.LogEntry
	add := func(e config.Entity) {
		payload, err := proto.Marshal(config.NewRecord(NewRecordID(), "operator", 0, e))
		if err != nil {
			b.Fatal(err)
		}
		raw = append(raw, extern.LogEntry{Offset: ident.Offset(len(raw) + 1), Payload: payload})
	}
	for i := range organisations {
		add(&config.Organisation{ID: ident.OrganisationID(fmt.Sprint("org", i)), Team: "alder", Rate: 1000, Burst: 5000})
	}
	for i := range keys {
		id := fmt.Sprint("key", i)
		add(&config.Key{
			ID: ident.KeyID(id), Team: "alder", Digest: ident.DigestOf(id),
			Organisation: ident.OrganisationID(fmt.Sprint("org", i%organisations)),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		var s store
		s.init()
		for from := 0; from < len(raw); from += maxReadRecords {
			s.append(decodeEntries(raw[from:min(from+maxReadRecords, len(raw))]))
		}
	}
	b.ReportMetric(float64(len(raw))*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}
