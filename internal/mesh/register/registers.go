// Package register keeps registers: one for each key, on the disks of the control servers. It is a replicated compare-and-set
// register as CASPaxos describes: there is no log and no leader.
//
// A change of a register is a ballot: it is prepared at a quorum of the view, whose members promise to take nothing older and tell
// what they hold; then the changed value is accepted by a quorum. The first half is left out where its result is known beforehand:
// every key has a home, named by rendezvous hashing, to which all have promised the first ballot of an epoch, and a server that had
// a value chosen is promised the next ballot.
//
// Ballots carry the epoch of the view whose quorums they were made for, and an acceptor takes part in the ballots of its own epoch
// only. Between two stable views stands a joint one, whose quorums are majorities of the old and the new members, so what is
// chosen in one epoch is seen by the ballots of the next. A joiner votes once it holds what was chosen before it came: see sync.go.
//
// After a change of view, values may stand elsewhere that the home of a key has not seen. A server takes the short way for the first
// ballot of a key once it knows which keys those are, see homed.go, or once the window, after which keys are forgotten, has passed
// in that epoch.
package register

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

const (
	widenAfter  = 0.04 // seconds until the members in reserve are asked
	slowFor     = 2.0  // seconds for which one that did not answer is kept in reserve
	resendAfter = 0.4  // seconds until who has not answered is sent a message again; twice as long after each time
	rivalPause  = 0.03 // seconds, twice as long with each ballot, until one that was refused is followed by a newer one
	GiveUp      = 0.8  // seconds until a change is given up; no message of it is sent later
	mostWork    = 4096 // changes under way; more are turned away
	lateAfter   = 0.12 // seconds under way, beyond the ways there and back, after which a change is late: who asked for it asks elsewhere soon, or gives up
	farthest    = 0.12 // seconds that a way there and back counts for at most
	forgetRate  = 0.01 // a second: by so much of itself the least time that a change took grows again
	lateShare   = 0.25 // of the changes under way: with more of them late no claim is begun
	endsShare   = 0.75 // and no end of a run is recorded
	roundTrips  = 2    // of a change that is prepared
	fewLate     = 8    // late changes that say nothing yet: their keys may be fought over, or a member may have gone
	sweepEvery  = 1.0  // seconds
	// Ages are counted from when a server saw a value, and start anew with it, so they err to the side of keeping.
	slack = 15.0
)

// permanentPrefix begins the names of registers that do not grow old: no key of an operation begins so.
const permanentPrefix = "\x00"

// Permanent is the name of a register that is never forgotten.
func Permanent(name string) string { return permanentPrefix + name }

func permanent(key string) bool { return strings.HasPrefix(key, permanentPrefix) }

// ViewKey is the register that names the next view. What follows a joint view is decided by a majority of its old members alone: all
// joint quorums contain one, so completing and abandoning a change exclude each other, and a joint view can be left for as long as a
// majority of the old members is there, whoever of the new ones is lost.
var ViewKey = Permanent("view")

// quorum says whether some members are enough for a ballot of a register.
func (l *Registers) quorum(key string, has func(view.Member) bool) bool {
	if key == ViewKey {
		return l.view.OldQuorum(has)
	}
	return l.view.Quorum(has)
}

// Effects are what a state machine wants done. Sends go at once; Puts go to the disk, and After when they are synced there.
type Effects struct {
	Sends []transport.Send
	Puts  []store.Put
	After []transport.Send
}

// entry is a register as this server's disk has it.
type entry struct {
	promised, accepted Ballot
	value              *meshpb.Receipt
	at                 float64 // when it came here
	position           uint64  // in the order of changes of this life
	chosen             bool    // in this life, by this server's own ballot, which is the accepted one
}

// Registers is one server's part in all registers. Its methods take the time in seconds on a clock that never jumps.
type Registers struct {
	Checks *invariant.Checks

	self      view.Member
	view      view.View
	addresses []string // of the view's members
	node      uint32   // this server's number in the view, from 1; 0: it is no member
	life      uint32
	window    float64
	fastFrom  float64 // from then on what was chosen in earlier epochs is forgotten
	homed     homed
	voting    bool

	entries   map[string]*entry
	position  uint64
	order     changeOrder
	work      map[string]*change
	byID      map[uint64]*change
	waiting   map[string][]*change
	lastID    uint64
	out       Effects
	sweepAt   float64
	late      int     // changes that were late at the last tick
	quickest  float64 // seconds that a change took at least, of late: a way to a quorum and back; 0: not known
	tickedAt  float64
	slowUntil map[view.Member]float64
}

// New makes the registers of a server. window is for how long a key's answer is kept, in seconds; life is drawn anew for each start
// of the process, and is not 0.
func New(self view.Member, life uint32, window float64) *Registers {
	return &Registers{Checks: &invariant.Checks{}, self: self, life: life, window: window + slack, lastID: uint64(life) << 32, entries: map[string]*entry{},
		work: map[string]*change{}, byID: map[uint64]*change{}, waiting: map[string][]*change{},
		slowUntil: map[view.Member]float64{}}
}

// SetView takes the view in force. fastFrom is the time from which the home of a key may leave out the first half of its first
// ballot whatever the others hold: at once in the founding view, and after the window in any later one. Changes under way begin anew
// in the new epoch.
func (l *Registers) SetView(now float64, v view.View, fastFrom float64) {
	if v.Epoch == l.view.Epoch {
		return
	}
	l.view, l.node, l.fastFrom = v, v.Node(l.self), fastFrom
	l.addresses = v.Addresses()
	l.homed = homed{}
	if l.node == 0 {
		l.voting = false
	}
	if l.node == 0 || !l.voting {
		l.Abort(now)
		return
	}
	for _, c := range l.ordered() {
		l.ask(now, c)
	}
}

// FastAfter is how many seconds an epoch is old when first ballots may go without being prepared again.
func (l *Registers) FastAfter() float64 { return l.window }

// Vote lets this server take part: its disk holds all that it ever promised, and what was chosen before it came.
func (l *Registers) Vote() { l.voting = l.node > 0 }

// Voting says whether this server takes part.
func (l *Registers) Voting() bool { return l.voting }

// Reset forgets everything: the disk is another one from here on.
func (l *Registers) Reset(now float64, self view.Member) {
	for key := range l.entries {
		l.out.Puts = append(l.out.Puts, store.Put{Name: prefix + key})
		if permanent(key) {
			l.out.Puts = append(l.out.Puts, store.Put{Name: promisePrefix + key})
		}
	}
	l.self, l.voting, l.node = self, false, 0
	clear(l.entries)
	l.order = changeOrder{}
	l.Abort(now)
}

// Held counts the registers by the state of their value, and says how old the oldest claim is that nobody has settled.
func (l *Registers) Held(now float64) (byState map[string]int, oldest float64) {
	byState = map[string]int{}
	for _, e := range l.entries {
		state := Free
		if e.value != nil {
			state = e.value.State
		}
		byState[stateNames[state]]++
		if state == Claimed {
			oldest = max(oldest, now-e.at)
		}
	}
	return byState, oldest
}

// Size is the number of registers held, and of changes under way.
func (l *Registers) Size() (registers, changes int) { return len(l.entries), len(l.work) }

// Take gives what is to be done since the last call.
func (l *Registers) Take() Effects {
	out := l.out
	l.out = Effects{}
	return out
}

// Home is the order of the servers for a key's claims: the first is its home, the others follow where that one is silent.
func Home(key string, servers []string) []string { return rendezvous.Order(key, servers) }

// home is the member that a key's claims go to first.
func (l *Registers) home(key string) string { return rendezvous.First(key, l.addresses) }

// isHome says whether this server is the home of a key in this epoch. A joint view has no homes: nobody goes the short way in it.
func (l *Registers) isHome(key string) bool {
	return !l.view.Joint() && l.home(key) == l.self.Address
}

// promised is what this server has promised for a key in this epoch, at least the first ballot to its home. Who holds a value of an
// earlier epoch promises no first ballot: the home may not have seen that value, so it has to ask. What was chosen before is held by
// at least one member of every quorum, so no first ballot that goes without being prepared replaces it.
func (l *Registers) promised(key string) Ballot {
	e := l.entries[key]
	if e != nil && e.promised.Epoch == l.view.Epoch {
		return e.promised
	}
	first := Ballot{Epoch: l.view.Epoch, Round: 1}
	if e != nil {
		first.Node = math.MaxUint32
		return first
	}
	if !l.view.Joint() {
		home := l.home(key)
		first.Node = uint32(slices.IndexFunc(l.view.Members, func(m view.Member) bool { return m.Address == home }) + 1)
	}
	return first
}

// Local is what this disk has of a register, chosen or not.
func (l *Registers) Local(name string) (value *meshpb.Receipt, accepted Ballot) {
	if e := l.entries[name]; e != nil {
		return e.value, e.accepted
	}
	return nil, Ballot{}
}

// Tick goes on with what got no quorum yet, gives up what took too long, and forgets what is older than the window.
func (l *Registers) Tick(now float64) {
	l.quickest *= 1 + forgetRate*(now-l.tickedAt)
	l.tickedAt = now
	l.late = 0
	due := lateAfter + roundTrips*min(l.quickest, farthest)
	for _, c := range l.ordered() {
		if now > c.began+due {
			l.late++
		}
		l.advance(now, c)
	}
	if now >= l.sweepAt {
		l.sweepAt = now + sweepEvery
		l.forget(now)
		l.order.compact(l.entries)
	}
}

// overloaded says that more than a share of the changes get no answers in time: more of them would only make all of them later.
func (l *Registers) overloaded(share float64) bool {
	return len(l.work) >= mostWork || l.late > fewLate && float64(l.late) > share*float64(len(l.work))
}

func (l *Registers) forget(now float64) {
	for key, e := range l.entries {
		if now > e.at+l.window && l.work[key] == nil && !permanent(key) {
			delete(l.entries, key)
			l.out.Puts = append(l.out.Puts, store.Put{Name: prefix + key})
		}
	}
}

func (l *Registers) ordered() []*change {
	all := make([]*change, 0, len(l.work))
	for _, c := range l.byID {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *change) int { return cmp.Compare(a.id, b.id) })
	return all
}
