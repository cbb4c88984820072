package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// startTime is how long a process takes at most until it handles signals.
	startTime           = time.Second
	defaultGrace        = 4 * time.Second
	defaultRouteTimeout = 5 * time.Second
)

// process is a daemon that runs as a separate process.
type process struct {
	id string
	// binary is what the next start runs. older says that the process began with an older build, replacedAt when that was replaced; zero if it was not.
	binary        string
	older         bool
	replacedAt    time.Time
	settingsFile  string
	callerAddress string
	// directoryAddress is where callers ask for the addresses of the daemons to use.
	directoryAddress string
	storeProxy       *proxy
	logFile          string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when the process was started, restarting is true from the start of a restart until the process runs again.
	startedAt  time.Time
	restarting bool
	// disturbedAt are the times at which the process was started or got a signal.
	disturbedAt []time.Time
}

// cluster is a fleet of daemon processes with a stand-in for the platform store and stand-ins for the upstreams.
type cluster struct {
	t            *testing.T
	binary       string
	store        *standin.Store
	storeAddress string
	processes    []*process
	workers      []*worker
	// weightsLimit is how long after a version was replaced requests may begin on it.
	weightsLimit time.Duration
	// grace is how long a daemon may take to end after SIGTERM; whole seconds.
	grace time.Duration
	// routeTimeouts are those of routes by their names; the default is defaultRouteTimeout.
	routeTimeouts map[string]time.Duration
	// operator serialises what operators write, so that all of it can be written again after a restore of the store.
	operator sync.Mutex
}

// buildBinary compiles the program and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gooseberryway")
	out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func newCluster(t *testing.T, binary string, daemons int, seed uint64) *cluster {
	t.Helper()
	w := startStore(t, binary, 8*time.Second)
	for i := range workersPerService {
		w.workers = append(w.workers, startWorker(t, w, "llm", i, seed), startWorker(t, w, "app", workersPerService+i, seed))
	}
	for i := range daemons {
		// In a large fleet every third daemon has few resources and is not active: the directory sends no callers to it.
		w.addDaemon(fmt.Sprint("d", i), daemons > smallFleetSize && i%3 == 2)
	}
	return w
}

// startStore returns a cluster without daemons and upstreams.
func startStore(t *testing.T, binary string, weightsLimit time.Duration) *cluster {
	t.Helper()
	w := &cluster{t: t, binary: binary, store: standin.NewStore(), weightsLimit: weightsLimit, grace: defaultGrace}
	w.storeAddress = w.store.Serve(nil)
	t.Cleanup(w.store.Close)
	w.configure(1, "key-a", "key-b")
	w.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	return w
}

func (w *cluster) configure(version int, keys ...string) {
	routes := []any{}
	for name, kind := range map[string]string{"note": "streaming", "draft": "streaming", "order": "non_idempotent", "lookup": "idempotent"} {
		service := "app"
		if kind == "streaming" {
			service = "llm"
		}
		timeout := cmp.Or(w.routeTimeouts[name], defaultRouteTimeout)
		routes = append(routes, map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout.Milliseconds(),
			"target-latency-ms": 300, "attempts": 2, "service": service, "resumable": name == "note",
		})
	}
	w.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 16, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app"},
		},
		"tenants": []any{map[string]any{"name": "acme", "keys": keys, "unit": "tokens", "requests-per-s": 1e6, "burst": 1e6}},
	})
}

func (w *cluster) addDaemon(id string, lowResources bool) {
	dir := w.t.TempDir()
	p := &process{
		id: id, binary: w.binary, settingsFile: filepath.Join(dir, "settings.json"), logFile: filepath.Join(dir, "log"),
		callerAddress: standin.FreeAddress(), directoryAddress: standin.FreeAddress(), storeProxy: startProxy(w.t, w.storeAddress),
	}
	reservePorts(w.t, p.callerAddress, p.directoryAddress)
	resources := map[string]any{"cpuShare": 0.8, "cores": 1, "linkMbps": 200, "memoryMb": memoryMB, "fileDescriptors": fileDescriptors}
	if lowResources {
		resources["cpuShare"], resources["linkMbps"] = 0.2, 10
	}
	raw, err := json.Marshal(map[string]any{
		"daemonId": id, "failureDomain": "z", "seeds": []string{}, "store": p.storeProxy.address(), "resources": resources,
		"listen": map[string]string{
			"callers": p.callerAddress, "ready": standin.FreeAddress(), "directory": p.directoryAddress, "peers": standin.FreeAddress(),
		},
		"limits": map[string]any{
			"graceS": w.grace.Seconds(), "leaseMs": 3000, "fenced": true, "weightsMs": w.weightsLimit.Milliseconds(), "retryShare": 0.2, "retrySlack": 50, "retryWindowS": 10,
		},
	})
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(p.settingsFile, raw, 0o600))
	w.processes = append(w.processes, p)
	w.startDaemon(p)
	w.t.Cleanup(func() { p.kill() })
}

// reservePorts keeps the UDP ports of addresses, so that FreeAddress of another test doesn't return them while a daemon is away.
func reservePorts(t *testing.T, addresses ...string) {
	t.Helper()
	for _, a := range addresses {
		c, err := net.ListenPacket("udp4", a)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
}

func (w *cluster) startDaemon(p *process) {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	p.mu.Lock()
	binary := p.binary
	p.mu.Unlock()
	cmd := exec.Command(binary, "entry", "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(w.t, cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.restarting, p.startedAt = cmd, done, false, time.Now()
	p.disturbedAt = append(p.disturbedAt, p.startedAt)
}

// undisturbedAt reports whether the process had run for so long at a time, without a signal.
func (p *process) undisturbedAt(at time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.disturbedAt, func(t time.Time) bool { return t.After(at.Add(-d)) && t.Before(at) })
}

// signalIfRunning sends a signal to the process unless it has just started, when it doesn't handle signals yet. It reports whether it did.
func (p *process) signalIfRunning(s syscall.Signal) bool {
	p.mu.Lock()
	age := time.Since(p.startedAt)
	p.mu.Unlock()
	if age > startTime {
		p.signal(s)
	}
	return age > startTime
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
		p.disturbedAt = append(p.disturbedAt, time.Now())
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitReady waits until each daemon answers a request, up to 15 s for each.
func (w *cluster) waitReady() {
	for _, p := range w.processes {
		require.Eventually(w.t, func() bool {
			req, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddress+"/lookup/ready", nil)
			if err != nil {
				return false
			}
			req.Host = "h.example"
			req.Header.Set("Authorization", "Bearer key-a")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, 15*time.Second, 50*time.Millisecond, "daemon %s does not serve requests", p.id)
	}
}
