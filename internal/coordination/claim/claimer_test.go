package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// openingTime is long enough for owners to open their slices after the start.
const openingTime = time.Second

// TestOnlyOneOfConcurrentClaimsIsGranted guards against two grants when claims of one key arrive at different daemons at
// the same time.
func TestOnlyOneOfConcurrentClaimsIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, time.Minute)
		defer f.close()
		time.Sleep(openingTime)
		var granted, ran atomic.Int32
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				d, err := f.claimAt(t, f.members[i%4], "shared", fmt.Sprint("r", i))
				require.NoError(t, err)
				switch d.(type) {
				case Granted:
					granted.Add(1)
				case Ran:
					ran.Add(1)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, granted.Load())
		require.EqualValues(t, 19, ran.Load())
		require.NotZero(t, f.log.appends)
	})
}

// TestRepeatedRequestGetsTheStoredAnswerUntilItExpires also checks that another body under the same key is a mismatch and
// that the key is free after the retention.
func TestRepeatedRequestGetsTheStoredAnswerUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, time.Minute)
		defer f.close()
		time.Sleep(openingTime)
		d, err := f.claimAt(t, "d00", "k", "r1")
		require.NoError(t, err)
		require.Equal(t, Granted{}, d)
		c := f.claimers["d00"]
		key := ident.DigestOf("k")
		c.Finish(t.Context(), "survey", key, "r1", &wire.KeptAnswer{Status: 200, Body: []byte("done")}, false)

		d, err = f.claimAt(t, "d01", "k", "r2")
		require.NoError(t, err)
		answered, ok := d.(Answered)
		require.True(t, ok, "%T", d)
		require.Equal(t, "done", string(answered.Answer.GetBody()))
		d, err = c.Claim(t.Context(), "survey", key, ident.DigestOf("other body"), "r3")
		require.NoError(t, err)
		require.Equal(t, Mismatch{}, d)

		time.Sleep(f.retention + time.Second)
		d, err = f.claimAt(t, "d01", "k", "r4")
		require.NoError(t, err)
		require.Equal(t, Granted{}, d)
	})
}

// TestRequestThatDidNotRunFreesItsKey guards against a key that stays claimed for the retention by a request that did not
// run.
func TestRequestThatDidNotRunFreesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, time.Minute)
		defer f.close()
		time.Sleep(openingTime)
		for i := range 3 {
			id := fmt.Sprint("r", i)
			d, err := f.claimAt(t, "d02", "k", id)
			require.NoError(t, err)
			require.Equal(t, Granted{}, d)
			f.claimers["d02"].Finish(t.Context(), "survey", ident.DigestOf("k"), ident.RequestID(id), nil, true)
		}
	})
}
