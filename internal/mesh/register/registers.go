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
	widenDelay             = 0.04 // seconds until the members in reserve are asked
	slowPeriod             = 2.0  // seconds for which one that did not answer is kept in reserve
	resendDelay            = 0.4  // seconds until who has not answered is sent a message again; twice as long after each time
	conflictBackoff        = 0.03 // seconds, twice as long with each ballot, until one that was refused is followed by a newer one
	ChangeTimeout          = 0.8  // seconds until a change is given up; no message of it is sent later
	maxChanges             = 4096 // changes under way; more are turned away
	lateThreshold          = 0.12 // seconds under way, beyond the ways there and back, after which a change is late: who asked for it asks elsewhere soon, or gives up
	maxRoundTrip           = 0.12 // seconds that a way there and back counts for at most
	roundTripGrowth        = 0.01 // a second: by so much of itself the least time that a change took grows again
	maxLateShareForClaims  = 0.25 // of the changes under way: with more of them late no claim is begun
	maxLateShareForSettles = 0.75 // and no end of a run is recorded
	roundTripsPerChange    = 2    // of a change that is prepared
	toleratedLateChanges   = 8    // late changes that say nothing yet: their keys may be fought over, or a member may have gone
	sweepInterval          = 1.0  // seconds
	// Ages are counted from when a server saw a value, and start anew with it, so they err to the side of keeping.
	windowSlack = 15.0
)

// permanentPrefix begins the names of registers that do not grow old: no key of an operation begins so.
const permanentPrefix = "\x00"

// Permanent is the name of a register that is never forgotten.
func Permanent(name string) string { return permanentPrefix + name }

func isPermanent(key string) bool { return strings.HasPrefix(key, permanentPrefix) }

// ViewKey is the register that names the next view. What follows a joint view is decided by a majority of its old members alone: all
// joint quorums contain one, so completing and abandoning a change exclude each other, and a joint view can be left for as long as a
// majority of the old members is there, whoever of the new ones is lost.
var ViewKey = Permanent("view")

// quorum says whether some members are enough for a ballot of a register.
func (rs *Registers) hasQuorum(key string, has func(view.Member) bool) bool {
	if key == ViewKey {
		return rs.view.OldQuorum(has)
	}
	return rs.view.Quorum(has)
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
	receivedAt         float64 // when it came here
	position           uint64  // in the order of changes of this life
	chosen             bool    // in this life, by this server's own ballot, which is the accepted one
}

// Registers is one server's part in all registers. Its methods take the time in seconds on a clock that never jumps.
type Registers struct {
	Checks *invariant.Checks

	self         view.Member
	view         view.View
	addresses    []string // of the view's members
	node         uint32   // this server's number in the view, from 1; 0: it is no member
	life         uint32
	window       float64
	fastPathFrom float64 // from then on what was chosen in earlier epochs is forgotten
	homedKeys    homedKeys
	voting       bool

	entries      map[string]*entry
	position     uint64
	entryOrder   changeOrder
	changes      map[string]*change
	changesByID  map[uint64]*change
	waiting      map[string][]*change
	lastID       uint64
	effects      Effects
	nextSweep    float64
	lateChanges  int     // changes that were late at the last tick
	minRoundTrip float64 // seconds that a change took at least, of late: a way to a quorum and back; 0: not known
	lastTick     float64
	slowUntil    map[view.Member]float64
}

// New makes the registers of a server. window is for how long a key's answer is kept, in seconds; life is drawn anew for each start
// of the process, and is not 0.
func New(self view.Member, life uint32, window float64) *Registers {
	return &Registers{Checks: &invariant.Checks{}, self: self, life: life, window: window + windowSlack, lastID: uint64(life) << 32, entries: map[string]*entry{},
		changes: map[string]*change{}, changesByID: map[uint64]*change{}, waiting: map[string][]*change{},
		slowUntil: map[view.Member]float64{}}
}

// SetView takes the view in force. fastFrom is the time from which the home of a key may leave out the first half of its first
// ballot whatever the others hold: at once in the founding view, and after the window in any later one. Changes under way begin anew
// in the new epoch.
func (rs *Registers) SetView(now float64, v view.View, fastPathFrom float64) {
	if v.Epoch == rs.view.Epoch {
		return
	}
	rs.view, rs.node, rs.fastPathFrom = v, v.Node(rs.self), fastPathFrom
	rs.addresses = v.Addresses()
	rs.homedKeys = homedKeys{}
	if rs.node == 0 {
		rs.voting = false
	}
	if rs.node == 0 || !rs.voting {
		rs.Abort(now)
		return
	}
	for _, c := range rs.orderedChanges() {
		rs.prepare(now, c)
	}
}

// FastPathDelay is how many seconds an epoch is old when first ballots may go without being prepared again.
func (rs *Registers) FastPathDelay() float64 { return rs.window }

// StartVoting lets this server take part: its disk holds all that it ever promised, and what was chosen before it came.
func (rs *Registers) StartVoting() { rs.voting = rs.node > 0 }

// Voting says whether this server takes part.
func (rs *Registers) Voting() bool { return rs.voting }

// Reset forgets everything: the disk is another one from here on.
func (rs *Registers) Reset(now float64, self view.Member) {
	for key := range rs.entries {
		rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: valuePrefix + key})
		if isPermanent(key) {
			rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: promisePrefix + key})
		}
	}
	rs.self, rs.voting, rs.node = self, false, 0
	clear(rs.entries)
	rs.entryOrder = changeOrder{}
	rs.Abort(now)
}

// StateCounts counts the registers by the state of their value, and says how old the oldest claim is that nobody has settled.
func (rs *Registers) StateCounts(now float64) (byState map[string]int, oldest float64) {
	byState = map[string]int{}
	for _, e := range rs.entries {
		state := Free
		if e.value != nil {
			state = e.value.State
		}
		byState[stateNames[state]]++
		if state == Claimed {
			oldest = max(oldest, now-e.receivedAt)
		}
	}
	return byState, oldest
}

// Size is the number of registers held, and of changes under way.
func (rs *Registers) Size() (registers, changes int) { return len(rs.entries), len(rs.changes) }

// TakeEffects gives what is to be done since the last call.
func (rs *Registers) TakeEffects() Effects {
	effects := rs.effects
	rs.effects = Effects{}
	return effects
}

// HomeOrder is the order of the servers for a key's claims: the first is its home, the others follow where that one is silent.
func HomeOrder(key string, servers []string) []string { return rendezvous.Order(key, servers) }

// home is the member that a key's claims go to first.
func (rs *Registers) homeAddress(key string) string { return rendezvous.First(key, rs.addresses) }

// isHome says whether this server is the home of a key in this epoch. A joint view has no homes: nobody goes the short way in it.
func (rs *Registers) isHome(key string) bool {
	return !rs.view.Joint() && rs.homeAddress(key) == rs.self.Address
}

// promised is what this server has promised for a key in this epoch, at least the first ballot to its home. Who holds a value of an
// earlier epoch promises no first ballot: the home may not have seen that value, so it has to ask. What was chosen before is held by
// at least one member of every quorum, so no first ballot that goes without being prepared replaces it.
func (rs *Registers) promisedBallot(key string) Ballot {
	e := rs.entries[key]
	if e != nil && e.promised.Epoch == rs.view.Epoch {
		return e.promised
	}
	first := Ballot{Epoch: rs.view.Epoch, Round: 1}
	if e != nil {
		first.Node = math.MaxUint32
		return first
	}
	if !rs.view.Joint() {
		home := rs.homeAddress(key)
		first.Node = uint32(slices.IndexFunc(rs.view.Members, func(m view.Member) bool { return m.Address == home }) + 1)
	}
	return first
}

// LocalValue is what this disk has of a register, chosen or not.
func (rs *Registers) LocalValue(name string) (value *meshpb.Receipt, accepted Ballot) {
	if e := rs.entries[name]; e != nil {
		return e.value, e.accepted
	}
	return nil, Ballot{}
}

// Tick goes on with what got no quorum yet, gives up what took too long, and forgets what is older than the window.
func (rs *Registers) Tick(now float64) {
	rs.minRoundTrip *= 1 + roundTripGrowth*(now-rs.lastTick)
	rs.lastTick = now
	rs.lateChanges = 0
	lateAfter := lateThreshold + roundTripsPerChange*min(rs.minRoundTrip, maxRoundTrip)
	for _, c := range rs.orderedChanges() {
		if now > c.startedAt+lateAfter {
			rs.lateChanges++
		}
		rs.advance(now, c)
	}
	if now >= rs.nextSweep {
		rs.nextSweep = now + sweepInterval
		rs.deleteExpired(now)
		rs.entryOrder.compact(rs.entries)
	}
}

// overloaded says that more than a share of the changes get no answers in time: more of them would only make all of them later.
func (rs *Registers) overloaded(share float64) bool {
	return len(rs.changes) >= maxChanges || rs.lateChanges > toleratedLateChanges && float64(rs.lateChanges) > share*float64(len(rs.changes))
}

func (rs *Registers) deleteExpired(now float64) {
	for key, e := range rs.entries {
		if now > e.receivedAt+rs.window && rs.changes[key] == nil && !isPermanent(key) {
			delete(rs.entries, key)
			rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: valuePrefix + key})
		}
	}
}

func (rs *Registers) orderedChanges() []*change {
	all := make([]*change, 0, len(rs.changes))
	for _, c := range rs.changesByID {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *change) int { return cmp.Compare(a.id, b.id) })
	return all
}
