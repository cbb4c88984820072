package crowd

import (
	"encoding/json"
	"fmt"
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
	answerTimeout       = 15 * time.Second
	answerTick          = 50 * time.Millisecond
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
	// http2 says that it speaks HTTP/2 without TLS only.
	http2 bool
}

// process is the program under test with its listeners.
type process struct {
	t         *testing.T
	cmd       *exec.Cmd
	exited    chan struct{}
	listeners []listener
	// maxSockets is the number of sockets that it may have open.
	maxSockets int
}

// startEntry starts "gooseberryway entry" on a machine with so many descriptors, beside an upstream of the service app.
func startEntry(t *testing.T, descriptors int) *process {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	upstream := &standin.Upstream{ID: "app-0"}
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
	store.Put("keyed.servers", upstream.ID, upstream.Registration("app", upstreamAddress, "ready"))
	p := &process{t: t, maxSockets: descriptors - reservedDescriptors}
	listen := p.listen("callers", "directory", "ready", "admin", "metrics", "peers")
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
	p.listeners[2].http2 = true
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
}

// requireAnswer fails the test unless an ordinary request is answered.
func (p *process) requireAnswer(t *testing.T, l listener) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, Protocols: new(http.Protocols)}
	transport.Protocols.SetHTTP1(!l.http2)
	transport.Protocols.SetUnencryptedHTTP2(l.http2)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: answerTimeout}
	path, method := ordinaryRequest(l.name)
	require.Eventually(t, func() bool {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+l.address+path, http.NoBody)
		if err != nil {
			return false
		}
		req.Host = host
		req.Header.Set("Authorization", "Bearer key-a")
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode < http.StatusInternalServerError || resp.Header.Get("X-Request-Id") != ""
	}, answerTimeout, answerTick, "an ordinary request is not answered by %s", l.name)
}

// ordinaryRequest returns the path and the method of a request that the listener of that name answers.
func ordinaryRequest(name string) (path, method string) {
	switch name {
	case "callers":
		return "/lookup/x", http.MethodPost
	case "metrics":
		return "/metrics", http.MethodGet
	case "admin":
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
	sockets, peakMB := p.sockets(t), float64(p.peakBytes(t))/bytesPerMB
	t.Logf("peak %.0f MB, %d sockets", peakMB, sockets)
	require.LessOrEqual(t, peakMB, float64(memoryMB), "resident memory in megabytes")
	require.LessOrEqual(t, sockets, p.maxSockets, "open sockets")
}

// peakBytes returns the largest resident memory that the process has had.
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

func (p *process) sockets(t *testing.T) int {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	n := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}
