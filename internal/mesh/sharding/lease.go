package sharding

// A host holds its keys by leases. A lease counts from when the question was sent whose answer it rests on, by the clock of the proxy
// beside the host, so it does not matter how long the answer took. Times are in seconds.
const (
	// holdMost is how long a host holds keys that are granted once. Larger: the keys of a machine that is gone are without a holder for
	// longer. Smaller: more is renewed, and a shorter time without a quorum stops the service.
	maxHoldSeconds = 6.0

	// RenewIntervalSeconds is the time between two questions for a lease. A third of a hold: two of them may go unanswered.
	RenewIntervalSeconds = maxHoldSeconds / 3

	// GrantMaxAgeSeconds is how old a question may be for its answer to be granted on: what waited longer, as in a frozen process, is not sent.
	GrantMaxAgeSeconds = 0.8

	slowestClockRate      = 0.98 // of a host, beside true time
	grantRoundTripSeconds = 0.5  // for the way of a grant to the host, and back

	// marginAtProxy is by how much sooner than the host the proxy beside it takes a hold for over.
	proxyMarginSeconds = 0.2
)

// HoldSeconds is for how long keys are granted at once. most is what the hosts allow; 0: they have not said.
func HoldSeconds(maxSeconds float64) float64 {
	if maxSeconds <= 0 {
		return maxHoldSeconds
	}
	return min(maxHoldSeconds, maxSeconds)
}

// UsableSeconds is for how long after the question a proxy has requests begin on keys that were granted on its answer.
func UsableSeconds(maxSeconds float64) float64 { return HoldSeconds(maxSeconds) - proxyMarginSeconds }

// LeaseSeconds is how long after its question a lease has run out everywhere, whatever the grant's way and the host's clock.
func LeaseSeconds(maxSeconds float64) float64 {
	return GrantMaxAgeSeconds + HoldSeconds(maxSeconds)/slowestClockRate + grantRoundTripSeconds
}
