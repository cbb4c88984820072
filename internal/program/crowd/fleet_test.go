package crowd

import "testing"

// fleetUpstreams is the number of upstreams of a fleet whose state is a large part of the memory of the smallest machine.
const fleetUpstreams = 20_000

// Guards against budgets that hold alone and not beside the state of a large fleet.
func TestCrowdsInLargeFleet(t *testing.T) {
	for name, f := range map[string]form{
		"no answers read": {send: request, size: largeCrowd}, "sends on": {send: requestThenBytes, size: largeCrowd}, "bodies": body(legalBody, 1), "chunks": {send: chunksWithoutEnd},
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntryInFleet(t, manyDescriptors, fleetUpstreams)
			l := p.listeners[0]
			l.path = largePath
			p.usage.reset()
			for range 3 {
				release := gather(l, f)
				t.Cleanup(release)
			}
			p.requireWithinLimits(t)
			p.requireAnswer(t, p.listeners[0])
			p.requireWithinLimits(t)
		})
	}
}
