package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// restartAll restarts all daemons of a fleet together; when graceful, they first release their slices.
func restartAll(f *fleet, graceful bool) {
	members := f.members
	for _, id := range members {
		if graceful {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			f.claimers[id].Release(ctx)
			cancel()
		}
	}
	for _, id := range members {
		f.crash(id)
		f.start(id, 2)
	}
	f.setMembers(members, 5*time.Second)
}

// TestReleasedSlicesAreOpenAfterAFullRestart guards against slices that block for the retention after an orderly restart of
// all daemons at once, when no former owner or backup is left to ask. After a crash of all daemons they must block.
func TestReleasedSlicesAreOpenAfterAFullRestart(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4, DefaultRetention)
			time.Sleep(openingTime)
			at := f.members[0]
			for i := range 20 {
				_, err := f.claimAt(t, at, fmt.Sprint("key", i), fmt.Sprint("request", i))
				require.NoError(t, err)
			}
			restartAll(f, graceful)
			time.Sleep(10 * time.Second)
			refused := 0
			for i := range 20 {
				decision, err := f.claimAt(t, at, fmt.Sprint("key", i), fmt.Sprint("again", i))
				if err != nil {
					refused++
					continue
				}
				require.Equal(t, Ran{}, decision, "the claim is remembered")
			}
			if graceful {
				require.Zero(t, refused)
			} else {
				require.Positive(t, refused, "claims may be lost, so the slices block")
			}
			f.close()
		})
	}
}

// TestReleasedSliceDecidesNoClaims guards against claims that are granted after the log says that all claims of the slice
// are in it.
func TestReleasedSliceDecidesNoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, DefaultRetention)
		time.Sleep(openingTime)
		at := f.members[0]
		_, err := f.claimAt(t, at, "key", "request")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f.claimers[at].Release(ctx)
		time.Sleep(time.Second)
		_, err = f.claimAt(t, at, "another", "request 2")
		var unavailable *UnavailableError
		require.ErrorAs(t, err, &unavailable)
		f.close()
	})
}

// releaseSlices releases the slices of a daemon, if it runs.
func (h *harness) releaseSlices(id ident.DaemonID) {
	h.mu.Lock()
	c := h.claimers[id]
	h.mu.Unlock()
	if c != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c.Release(ctx)
	}
}
