package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestGrantingAClaimThatWasReplacedIsAViolationAndRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, time.Minute)
		defer f.close()
		time.Sleep(settle)
		c := f.claimers["d00"]
		digest, body := ident.DigestOf("k"), ident.DigestOf("body")
		req := &wire.ClaimRequest{OrganisationId: "survey", KeyDigest: digest[:], RequestDigest: body[:], RequestId: "r1"}
		k := keyOf(req.GetOrganisationId(), req.GetKeyDigest())
		s := &c.slices[k.slice()]
		found, created, resp := c.enter(s, k, req)
		require.Nil(t, resp)
		require.True(t, created)

		var seen []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v.Invariant) })()
		require.Equal(t, wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED, c.conclude(s, found, req).GetOutcome())
		require.Empty(t, seen)

		s.mu.Lock()
		s.put(newClaim(k, &wire.ClaimRecord{RequestId: "r2"}, time.Now()))
		s.mu.Unlock()
		require.Equal(t, wire.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE, c.conclude(s, found, req).GetOutcome())
		require.Equal(t, []guard.Invariant{guard.AtMostOnce}, seen)
	})
}
