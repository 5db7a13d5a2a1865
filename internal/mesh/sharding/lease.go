package sharding

// A host holds its keys by leases. A lease counts from when the question was sent whose answer it rests on, by the clock of the proxy
// beside the host, so it does not matter how long the answer took. Times are in seconds.
const (
	// holdMost is how long a host holds keys that are granted once. Larger: the keys of a machine that is gone are without a holder for
	// longer. Smaller: more is renewed, and a shorter time without a quorum stops the service.
	holdMost = 6.0

	// RenewEvery is the time between two questions for a lease. A third of a hold: two of them may go unanswered.
	RenewEvery = holdMost / 3

	// GrantWithin is how old a question may be for its answer to be granted on: what waited longer, as in a frozen process, is not sent.
	GrantWithin = 0.8

	slowestClock = 0.98 // of a host, beside true time
	grantSlack   = 0.5  // for the way of a grant to the host, and back

	// marginAtProxy is by how much sooner than the host the proxy beside it takes a hold for over.
	marginAtProxy = 0.2
)

// Hold is for how long keys are granted at once. most is what the hosts allow; 0: they have not said.
func Hold(most float64) float64 {
	if most <= 0 {
		return holdMost
	}
	return min(holdMost, most)
}

// HeldFor is for how long after the question a proxy has requests begin on keys that were granted on its answer.
func HeldFor(most float64) float64 { return Hold(most) - marginAtProxy }

// LeaseTime is how long after its question a lease has run out everywhere, whatever the grant's way and the host's clock.
func LeaseTime(most float64) float64 { return GrantWithin + Hold(most)/slowestClock + grantSlack }
