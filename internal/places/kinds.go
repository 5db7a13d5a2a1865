package places

// Kind is what a connection is at. Those before Active can give way, in this order.
type Kind uint8

// The kinds.
const (
	Lingering Kind = iota // has its last answer, and may yet read it
	Silent                // has brought nothing yet
	Partial               // its first request has begun to come
	Trial                 // idle, judged useless, and kept to see whether that is right
	Once                  // idle after its only request
	Often                 // idle after two requests or more
	Active                // a further request is coming, or one is worked on
	Ending                // told to end
	Over                  // beyond the limit: gets an error for its first request
	Gone                  // has left, or never came
	kinds
)

var kindNames = [kinds]string{"lingering", "silent", "partial", "trial", "idle, used once", "idle, used often", "active",
	"ending", "over", "gone"}

func (k Kind) String() string { return kindNames[k] }

// Idle says whether no request of the connection is open, and it has had one.
func (k Kind) Idle() bool { return k == Trial || k == Once || k == Often }

// Cause is why a connection was told to end.
type Cause uint8

// The causes.
const (
	Full    Cause = iota // its place was wanted for another
	Unused               // its caller opens others instead of using it
	Timed                // it was idle, or brought nothing whole, for too long
	Drained              // all of them end
	causes
)

var causeNames = [causes]string{"full", "unused", "timed", "drained"}

func (c Cause) String() string { return causeNames[c] }
