package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/platform"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against records of other writers that stop daemons, or their messages to each other, or keep them from following the store.
func TestOddRecordsDoNotStopFollowing(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	for key, value := range map[string]string{
		"deep": strings.Repeat("[", 100000), "far": `{"service":"app","address":"127.0.0.1:70000","state":"ready"}`,
		"b\xffd": `{"service":"app","address":"127.0.0.1:9","state":"ready"}`, "many": `{"service":"app","address":"127.0.0.1:9","state":"ready","slots":1e99}`,
	} {
		f.store.Put("keyed.servers", key, []byte(value))
		f.store.Put("keyed.op", key, []byte(value))
	}
	f.start("d0", nil)
	f.ready(0)
	// The second daemon has to learn of the upstream from the first, which reads on past further odd records.
	f.start("d1", func(r *http.Request) standin.Fault {
		if strings.Contains(r.URL.RawQuery, "servers") && strings.Contains(r.URL.Path, "read") {
			return standin.FaultUnavailable
		}
		return standin.FaultNone
	})
	f.ready(0)
	f.store.Put("keyed.servers", "\xfe", []byte(`{"service":"app","address":"127.0.0.1:9","state":"ready"}`))
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	f.ready(1)
	for _, d := range f.daemons {
		require.Equal(t, http.StatusOK, f.call(d, "/lookup/x", "r-"+string(d.Settings.DaemonID), "secret", "").StatusCode)
	}
}

// Guards against a log line and a count for each time that a list with the same unreadable record is read.
func TestUnreadableRecordOfListIsReportedOnce(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.Put("keyed.members", "b\xffd", []byte(`{}`))
	s := &instrumentedStore{Store: &platform.Store{Address: store.Serve(nil)}}
	reported := metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUnreadableRecords{topic="%v"}`, extern.TopicMembers))
	before := reported.Get()
	for range 3 {
		batch, err := s.Newest(t.Context(), extern.TopicMembers)
		require.NoError(t, err)
		require.Equal(t, 1, batch.Unreadable)
	}
	require.Equal(t, before+1, reported.Get())
}

// FuzzHeartbeat checks that no heartbeat of a peer causes a panic.
func FuzzHeartbeat(f *testing.F) {
	raw, err := proto.Marshal(&wire.Beat{
		Daemon: "d1", Sequence: 1, Prompts: &wire.PromptEvidence{
			Part: []uint64{1, 2}, Upstream: []uint32{1}, Whole: []bool{true}, Quarantined: []*wire.QuarantinedParts{{Whole: true, Strikes: 1 << 31}},
		},
	})
	require.NoError(f, err)
	f.Add(raw)
	d := &Daemon{Settings: &setup.Entry{DaemonID: "d0"}}
	d.build()
	f.Fuzz(func(_ *testing.T, raw []byte) {
		b := &wire.Beat{}
		if proto.Unmarshal(raw, b) == nil {
			d.applyHeartbeat(b)
		}
	})
}
