package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// buildOlder compiles the program as of the commit that SOAK_FROM names and returns the path of the binary; empty if it names none.
func buildOlder(t *testing.T) string {
	t.Helper()
	commit := os.Getenv("SOAK_FROM")
	if commit == "" {
		return ""
	}
	tree, binary := filepath.Join(t.TempDir(), "tree"), filepath.Join(t.TempDir(), "older")
	out, err := exec.Command("git", "worktree", "add", "--detach", tree, commit).CombinedOutput()
	require.NoError(t, err, string(out))
	t.Cleanup(func() { _ = exec.Command("git", "worktree", "remove", "--force", tree).Run() })
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Dir = tree
	out, err = build.CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// upgrade replaces the daemons one after the other by those of a binary, over most of a run that takes d.
func (w *cluster) upgrade(ctx context.Context, binary string, d time.Duration) {
	for _, p := range w.processes {
		p.mu.Lock()
		p.older = true
		p.mu.Unlock()
	}
	gap := d / time.Duration(len(w.processes)+1)
	for _, p := range w.processes {
		if !scope.Sleep(ctx, gap) {
			return
		}
		p.mu.Lock()
		p.binary, p.replacedAt = binary, time.Now()
		p.mu.Unlock()
		w.restart(p, syscall.SIGTERM)
	}
}

// ranOlderAt reports whether the process ran the older build at a time.
func (p *process) ranOlderAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.older && (p.replacedAt.IsZero() || at.Before(p.replacedAt))
}
