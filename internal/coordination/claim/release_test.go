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

// restartAll restarts all daemons of a fleet together, after they have released their slices if graceful.
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

func TestSlicesOfDaemonsThatLeftTogetherAreOpenAtOnce(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4, DefaultRetention)
			time.Sleep(settle)
			at := f.members[0]
			for i := range 20 {
				_, err := f.try(t, at, fmt.Sprint("key", i), fmt.Sprint("request", i))
				require.NoError(t, err)
			}
			restartAll(f, graceful)
			time.Sleep(10 * time.Second)
			refused := 0
			for i := range 20 {
				decision, err := f.try(t, at, fmt.Sprint("key", i), fmt.Sprint("again", i))
				if err != nil {
					refused++
					continue
				}
				require.Equal(t, Ran{}, decision, "the claim is remembered")
			}
			if graceful {
				require.Zero(t, refused)
			} else {
				require.Positive(t, refused, "claims may be lost, so the slices wait")
			}
			f.close()
		})
	}
}

func TestAReleasedSliceIsNotDecidedAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, DefaultRetention)
		time.Sleep(settle)
		at := f.members[0]
		_, err := f.try(t, at, "key", "request")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f.claimers[at].Release(ctx)
		time.Sleep(time.Second)
		_, err = f.try(t, at, "another", "request 2")
		var unavailable *UnavailableError
		require.ErrorAs(t, err, &unavailable)
		f.close()
	})
}

// leave releases the slices of a daemon and restarts it.
func (b *bench) leave(id ident.DaemonID) {
	b.mu.Lock()
	c := b.claimers[id]
	b.mu.Unlock()
	if c != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c.Release(ctx)
	}
}
