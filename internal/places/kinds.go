package places

// State is what a connection is at. Those before Active can give way, in this order.
type State uint8

// The kinds.
const (
	StateLingering  State = iota // has its last answer, and may yet read it
	StateNew                     // has brought nothing yet
	StatePartial                 // its first request has begun to come
	StateTrial                   // idle, judged useless, and kept to see whether that is right
	StateIdleOnce                // idle after its only request
	StateIdleReused              // idle after two requests or more
	StateActive                  // a further request is coming, or one is worked on
	StateClosing                 // told to end
	StateOverLimit               // beyond the limit: gets an error for its first request
	StateRemoved                 // has left, or never came
	kinds
)

var kindNames = [kinds]string{"lingering", "silent", "partial", "trial", "idle, used once", "idle, used often", "active",
	"ending", "over", "gone"}

func (k State) String() string { return kindNames[k] }

// Idle says whether no request of the connection is open, and it has had one.
func (k State) Idle() bool { return k == StateTrial || k == StateIdleOnce || k == StateIdleReused }

// Cause is why a connection was told to end.
type Cause uint8

// The causes.
const (
	CauseFull          Cause = iota // its place was wanted for another
	CauseUnlikelyReuse              // its caller opens others instead of using it
	CauseTimeout                    // it was idle, or brought nothing whole, for too long
	CauseDrain                      // all of them end
	causes
)

var causeNames = [causes]string{"full", "unused", "timed", "drained"}

func (c Cause) String() string { return causeNames[c] }
