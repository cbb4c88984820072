package crowd

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// memoryMB is the memory of the smallest machine in megabytes.
	memoryMB   = 112
	bytesPerMB = 1e6
	// reservedDescriptors is the number of descriptors that the platform reserves for files; the others are left to sockets.
	reservedDescriptors = 200
	// upstreamSlots lets the upstream run the requests of a whole crowd at once.
	upstreamSlots = 4000
	// ordinaryBytes is the size of the prompt of an ordinary request.
	ordinaryBytes = 9200
	answerTimeout = 15 * time.Second
	answerTick    = 50 * time.Millisecond
)

// binary is the program under test, built without the race detector, which multiplies memory.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "gooseberryway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
		panic(fmt.Sprint(err, ": ", string(out)))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// listener is one address of a process. An ordinary request to it is answered with a status from 200 to 499, or with an ID by the handler of serve, which
// admits nothing without its platform.
type listener struct {
	name, address string
	// path, method, key and contentType are those of the requests of crowds and of ordinary requests; empty for those of the listener's name and for none.
	path, method, key, contentType string
	// http2 says that it speaks HTTP/2 without TLS only, serves that an ordinary request has a body and is answered with 200.
	http2, serves bool
	// roots are the authorities of its certificate; nil without TLS.
	roots *x509.CertPool
}

// process is the program under test with its listeners.
type process struct {
	t         *testing.T
	cmd       *exec.Cmd
	exited    chan struct{}
	listeners []listener
	// maxSockets is the number of sockets that it may have open.
	maxSockets int
	usage      usage
}

// startEntry starts "gooseberryway entry" on a machine with so many descriptors, beside an upstream of the service app.
func startEntry(t *testing.T, descriptors int) *process {
	t.Helper()
	return startEntryInFleet(t, descriptors, 0)
}

// startEntryInFleet does the same in a fleet with so many further upstreams, none of which exists.
func startEntryInFleet(t *testing.T, descriptors, upstreams int) *process {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	upstream := &standin.Upstream{ID: "app-0", Intercept: largeAnswer}
	upstreamAddress := upstream.Start()
	t.Cleanup(upstream.Close)
	store.Put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "lookup", "host": host, "path-prefix": "/lookup/", "kind": "idempotent", "timeout-ms": 4000, "target-latency-ms": 300, "attempts": 2, "service": "app",
		}},
		"services": []any{map[string]any{"name": "app"}},
		"tenants":  []any{map[string]any{"name": "acme", "keys": []any{"key-a"}, "unit": "requests", "requests-per-s": 1e6, "burst": 1e6}},
	})
	registration := upstream.Registration("app", upstreamAddress, "ready")
	registration["slots"] = upstreamSlots
	store.Put("keyed.servers", upstream.ID, registration)
	for i := range upstreams {
		absent := &standin.Upstream{ID: fmt.Sprint("absent-", i), Model: "m", Version: 1}
		store.Put("keyed.servers", absent.ID, absent.Registration("llm", fmt.Sprintf("127.1.%d.%d:1", i>>8&0xff, i&0xff), "ready"))
	}
	p := &process{t: t, maxSockets: descriptors - reservedDescriptors}
	listen := p.listen("callers", "directory", "ready", "admin", "metrics", "peers")
	p.listeners[0].path, p.listeners[0].key, p.listeners[0].serves = "/lookup/x", "key-a", true
	p.start("entry", map[string]any{
		"daemonId": "d0", "failureDomain": "z", "seeds": []string{}, "store": store.Serve(nil), "listen": listen,
		"resources": map[string]any{"cpuShare": 1, "cores": 1, "linkMbps": 1000, "memoryMb": memoryMB, "fileDescriptors": descriptors},
		"limits":    map[string]any{"graceS": 4, "leaseMs": 3000, "fenced": true, "weightsMs": 8000, "retryShare": 0.2, "retrySlack": 50, "retryWindowS": 10},
	})
	return p
}

// startServe starts "gooseberryway serve", whose settings don't name the machine's resources, without the services of its platform.
func startServe(t *testing.T, descriptors int) *process {
	t.Helper()
	p := &process{t: t, maxSockets: descriptors - reservedDescriptors}
	listen := p.listen("callers", "admin", "peers")
	p.listeners[0].path, p.listeners[0].key, p.listeners[2].http2 = "/lookup/x", "key-a", true
	service := map[string]any{"url": "http://" + standin.FreeAddress()}
	p.start("serve", map[string]any{
		"daemonId": "daemon-1", "failureDomain": "z", "listen": listen, "advertise": listen, "logService": service, "vmList": service, "weightStore": service,
		"sharedToken": "only-for-loopback",
	})
	return p
}

// listen adds listeners with these names.
func (p *process) listen(names ...string) map[string]string {
	addresses := map[string]string{}
	for _, name := range names {
		addresses[name] = standin.FreeAddress()
		p.listeners = append(p.listeners, listener{name: name, address: addresses[name]})
	}
	return addresses
}

func (p *process) start(command string, settings map[string]any) {
	dir := p.t.TempDir()
	raw, err := json.Marshal(settings)
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(filepath.Join(dir, "settings.json"), raw, 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(p.t, err)
	p.cmd = exec.Command(binary, command, "--settings", filepath.Join(dir, "settings.json"))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(p.t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
		if raw, err := os.ReadFile(log.Name()); err == nil && p.t.Failed() {
			p.t.Logf("end of the log: %s", raw[max(0, len(raw)-4096):])
		}
	})
	for _, l := range p.listeners {
		p.requireAnswer(p.t, l)
	}
	stop := p.usage.watch(p.cmd.Process.Pid)
	p.t.Cleanup(stop)
}

// requireAnswer fails the test unless an ordinary request is answered.
func (p *process) requireAnswer(t *testing.T, l listener) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, Protocols: new(http.Protocols), TLSClientConfig: &tls.Config{RootCAs: l.roots, MinVersion: tls.VersionTLS12}}
	transport.Protocols.SetHTTP1(!l.http2)
	transport.Protocols.SetUnencryptedHTTP2(l.http2)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: answerTimeout}
	last := "none"
	defer func() {
		if t.Failed() {
			t.Logf("the last answer of %s: %s", l.name, last)
		}
	}()
	require.Eventually(t, func() bool {
		resp, err := client.Do(ordinaryRequest(t, l))
		if err != nil {
			last = err.Error()
			return false
		}
		defer resp.Body.Close()
		last = resp.Status
		if l.serves {
			return resp.StatusCode == http.StatusOK
		}
		return resp.StatusCode < http.StatusInternalServerError || resp.Header.Get("X-Request-Id") != ""
	}, answerTimeout, answerTick, "an ordinary request is not answered by %s", l.name)
}

func ordinaryRequest(t *testing.T, l listener) *http.Request {
	t.Helper()
	path, method := target(l)
	scheme := "http://"
	if l.roots != nil {
		scheme = "https://"
	}
	var body io.Reader = http.NoBody
	if l.serves {
		body = strings.NewReader(ordinaryBody(path))
	}
	req, err := http.NewRequestWithContext(t.Context(), method, scheme+l.address+path, body)
	require.NoError(t, err)
	req.Host = host
	if l.key != "" {
		req.Header.Set("Authorization", "Bearer "+l.key)
	}
	return req
}

// ordinaryBody returns the body of an ordinary request to a path.
func ordinaryBody(path string) string {
	text := strings.Repeat("w", ordinaryBytes)
	if strings.HasSuffix(path, "/completions") {
		return `{"model":"girth","max_tokens":2,"messages":[{"role":"user","content":"` + text + `"}]}`
	}
	return text
}

// target returns the path and the method of a request that the listener answers.
func target(l listener) (path, method string) {
	switch {
	case l.path != "":
		return l.path, cmp.Or(l.method, http.MethodPost)
	case l.name == "metrics":
		return "/metrics", http.MethodGet
	case l.name == "admin":
		return "/v1/status", http.MethodGet
	}
	return "/", http.MethodGet
}

// requireWithinLimits fails the test unless the process lives and has stayed within the memory and the sockets of its machine.
func (p *process) requireWithinLimits(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		require.Fail(t, "the process has ended")
	default:
	}
	sockets, peakMB := len(socketsOf(p.cmd.Process.Pid)), float64(p.peakBytes(t))/bytesPerMB
	together, unread := p.usage.peak()
	t.Logf("peak %.0f MB, %.0f MB together with unread bytes, at most %.0f MB unread, %d sockets", peakMB, together, unread, sockets)
	require.LessOrEqual(t, peakMB, float64(memoryMB), "resident memory in megabytes")
	require.LessOrEqual(t, together, float64(memoryMB), "resident memory and unread bytes in megabytes")
	require.LessOrEqual(t, sockets, p.maxSockets, "open sockets")
}

// peakBytes returns the largest resident memory that the process has had since the last usage.reset.
func (p *process) peakBytes(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	require.True(t, found, "no VmHWM")
	kibibytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(t, err)
	return kibibytes << 10
}
