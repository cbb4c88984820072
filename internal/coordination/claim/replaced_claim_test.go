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

// TestGrantOfAReplacedClaimIsAViolationAndRefused replaces a claim between its creation and its grant, which would let two
// requests run under one key.
func TestGrantOfAReplacedClaimIsAViolationAndRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, time.Minute)
		defer f.close()
		time.Sleep(openingTime)
		c := f.claimers["d00"]
		digest, body := ident.DigestOf("k"), ident.DigestOf("body")
		req := &wire.ClaimRequest{OrganisationId: "survey", KeyDigest: digest[:], RequestDigest: body[:], RequestId: "r1"}
		k := keyOf(req.GetOrganisationId(), req.GetKeyDigest())
		s := &c.slices[k.slice()]
		found, created, resp := c.findOrCreate(s, k, req)
		require.Nil(t, resp)
		require.True(t, created)

		var violated []guard.Invariant
		defer guard.Capture(func(v *guard.ViolationError) { violated = append(violated, v.Invariant) })()
		require.Equal(t, wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED, c.decideDurable(s, found, req).GetOutcome())
		require.Empty(t, violated)

		s.mu.Lock()
		s.add(newClaim(k, &wire.ClaimRecord{RequestId: "r2"}, time.Now()))
		s.mu.Unlock()
		require.Equal(t, wire.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE, c.decideDurable(s, found, req).GetOutcome())
		require.Equal(t, []guard.Invariant{guard.AtMostOnce}, violated)
	})
}
