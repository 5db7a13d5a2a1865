package sharding

// A host holds its keys under leases. A lease starts when the proxy beside the host sends the lease request, by the proxy's
// clock, so the time until the answer does not extend it. All times are in seconds.
const (
	// maxHoldSeconds is how long one grant lets a host hold its keys. Larger: the keys of a lost machine have no holder for
	// longer. Smaller: grants are renewed more often, and a shorter loss of the quorum interrupts the service.
	maxHoldSeconds = 6.0

	// RenewIntervalSeconds is the time between two lease requests. At a third of a hold, two requests may go unanswered.
	RenewIntervalSeconds = maxHoldSeconds / 3

	// GrantMaxAgeSeconds is the greatest age of a lease request whose answer may still be granted to the host. An answer that
	// waited longer, for example in a frozen process, is not passed on.
	GrantMaxAgeSeconds = 0.8

	slowestClockRate      = 0.98 // of a host's clock, relative to true time
	grantRoundTripSeconds = 0.5  // for sending a grant to the host and receiving the reply

	// proxyMarginSeconds is how much earlier than the host the proxy beside it treats a hold as expired.
	proxyMarginSeconds = 0.2
)

// HoldSeconds returns how long one grant lets a host hold its keys. maxSeconds is the limit that the hosts declare; 0: none is
// declared.
func HoldSeconds(maxSeconds float64) float64 {
	if maxSeconds <= 0 {
		return maxHoldSeconds
	}
	return min(maxHoldSeconds, maxSeconds)
}

// UsableSeconds returns how long after the lease request a proxy lets requests start on the granted keys.
func UsableSeconds(maxSeconds float64) float64 { return HoldSeconds(maxSeconds) - proxyMarginSeconds }

// LeaseSeconds returns the time after the lease request at which the lease has expired everywhere, whatever the delay of the
// grant and the error of the host's clock.
func LeaseSeconds(maxSeconds float64) float64 {
	return GrantMaxAgeSeconds + HoldSeconds(maxSeconds)/slowestClockRate + grantRoundTripSeconds
}
