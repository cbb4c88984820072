package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// process is a daemon as a separate process.
type process struct {
	id       string
	settings string
	callers  string
	// directory is where callers ask which daemons to use.
	directory string
	store     *proxy
	log       string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// stopped is true while the process is stopped by SIGSTOP.
	stopped bool
}

type world struct {
	t         *testing.T
	binary    string
	store     *standin.Store
	address   string
	processes []*process
	apps      []*standin.Upstream
	engines   []*standin.Upstream
}

// build compiles the program once for all seeds.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gooseberryway")
	out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func newWorld(t *testing.T, binary string, daemons int) *world {
	t.Helper()
	w := &world{t: t, binary: binary, store: standin.NewStore()}
	w.address = w.store.Serve(nil)
	t.Cleanup(w.store.Close)
	w.configure(1, "key-a", "key-b")
	w.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	for i := range 3 {
		e := &standin.Upstream{
			ID: fmt.Sprint("engine-", i), Model: "m", Version: 1, EventCount: 8, EventInterval: 20 * time.Millisecond, LoadTime: 150 * time.Millisecond,
		}
		a := &standin.Upstream{ID: fmt.Sprint("app-", i)}
		w.engines, w.apps = append(w.engines, e), append(w.apps, a)
		w.register("llm", e)
		w.register("app", a)
	}
	for i := range daemons {
		// In a large fleet every third daemon is on a weak VM and stands by.
		w.add(fmt.Sprint("d", i), daemons > fewDaemons && i%3 == 2)
	}
	return w
}

func (w *world) register(service string, worker *standin.Upstream) {
	address := worker.Start()
	w.t.Cleanup(worker.Close)
	w.store.Put("keyed.servers", worker.ID, worker.Registration(service, address, "ready"))
}

func (w *world) configure(version int, keys ...string) {
	routes := []any{}
	for name, kind := range map[string]string{"note": "streaming", "order": "non_idempotent", "lookup": "idempotent"} {
		service := "app"
		if kind == "streaming" {
			service = "llm"
		}
		routes = append(routes, map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 5000,
			"target-latency-ms": 300, "attempts": 2, "service": service, "resumable": kind == "streaming",
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

func (w *world) add(id string, weak bool) {
	dir := w.t.TempDir()
	p := &process{
		id: id, settings: filepath.Join(dir, "settings.json"), log: filepath.Join(dir, "log"),
		callers: standin.FreeAddress(), directory: standin.FreeAddress(), store: startProxy(w.t, w.address),
	}
	resources := map[string]any{"cpuShare": 0.8, "cores": 1, "linkMbps": 200}
	if weak {
		resources = map[string]any{"cpuShare": 0.2, "cores": 1, "linkMbps": 10}
	}
	raw, err := json.Marshal(map[string]any{
		"daemonId": id, "failureDomain": "z", "seeds": []string{}, "store": p.store.address(), "resources": resources,
		"listen": map[string]string{
			"callers": p.callers, "ready": standin.FreeAddress(), "directory": p.directory, "peers": standin.FreeAddress(),
		},
		"limits": map[string]any{
			"graceS": 4, "leaseMs": 3000, "fenced": true, "weightsMs": 8000, "retryShare": 0.2, "retrySlack": 50, "retryWindowS": 10,
		},
	})
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(p.settings, raw, 0o600))
	w.processes = append(w.processes, p)
	w.start(p)
	w.t.Cleanup(func() { p.kill() })
}

func (w *world) start(p *process) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	cmd := exec.Command(w.binary, "entry", "--settings", p.settings)
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
	p.cmd, p.done, p.stopped = cmd, done, false
}

// signal sends a signal to the process that this test started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ready waits until all daemons answer requests.
func (w *world) ready() {
	for _, p := range w.processes {
		require.Eventually(w.t, func() bool {
			req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/lookup/ready", nil)
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
		}, 15*time.Second, 50*time.Millisecond, "daemon %s does not serve", p.id)
	}
}
