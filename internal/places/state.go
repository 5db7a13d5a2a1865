package places

// State is the state of a connection. Connections in a state before StateActive can be evicted, in the order of the
// states.
type State uint8

// The states of a connection. Their values are the order of eviction.
const (
	StateLingering  State = iota // the last response is sent, and the client may still be reading it
	StateNew                     // nothing has arrived yet
	StatePartial                 // the first request has begun to arrive
	StateTrial                   // idle and unlikely to be reused, but kept open to verify that estimate
	StateIdleOnce                // idle after its only request
	StateIdleReused              // idle after two or more requests
	StateActive                  // a request is being processed, or a further one is arriving
	StateClosing                 // marked for closing
	StateOverLimit               // accepted beyond the limit: its first request is answered with an error
	StateRemoved                 // not in the table
	stateCount
)

// stateNames are the names of the states in the proxy's log.
var stateNames = [stateCount]string{"lingering", "silent", "partial", "trial", "idle, used once", "idle, used often", "active",
	"ending", "over", "gone"}

func (s State) String() string { return stateNames[s] }

// Idle reports whether the connection has received a request and has none in progress.
func (s State) Idle() bool { return s == StateTrial || s == StateIdleOnce || s == StateIdleReused }

// Cause is the reason for which a connection was marked for closing.
type Cause uint8

// The causes of closing.
const (
	CauseFull          Cause = iota // evicted to make room
	CauseUnlikelyReuse              // the client opens new connections rather than reuse this one
	CauseTimeout                    // idle, or without a first request, for too long
	CauseDrain                      // all connections are being closed
	causeCount
)

// causeNames are the names of the causes in the proxy's log.
var causeNames = [causeCount]string{"full", "unused", "timed", "drained"}

func (c Cause) String() string { return causeNames[c] }
