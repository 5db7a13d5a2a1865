// Package register implements replicated compare-and-set registers, one per key, stored on the disks of the control servers.
// The protocol is CASPaxos: there is no log and no leader. Registers is the main type. It does no I/O: its owner passes in
// messages and the time, and carries out the Effects that TakeEffects returns.
//
// A change of a register runs a ballot in two phases. In the prepare phase a quorum of the view promises to accept nothing
// older and reports the values that it holds. In the accept phase a quorum accepts the changed value. The prepare phase is
// skipped on the fast path, where its result is known beforehand: every key has a home server, chosen by rendezvous hashing, to
// which all members have promised the first ballot of an epoch, and a server whose value was chosen has been promised the next
// ballot.
//
// Ballots carry the epoch of the view whose quorums they use, and an acceptor only takes part in ballots of its own epoch.
// Between two stable views there is a joint view, whose quorums are majorities of both the old and the new members, so ballots
// of one epoch see what was chosen in the epoch before. A joiner votes once it holds everything that was chosen before it
// joined, see sync.go.
//
// After a change of the view, other members may hold values that the home of a key has not seen. A server takes the fast path
// for the first ballot of a key once it knows which keys have such values, see homed.go, or once the retention window of keys has
// passed in that epoch.
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
	widenDelay      = 0.04 // seconds until the message of a phase is also sent to the members in reserve
	slowPeriod      = 2.0  // seconds for which a member that did not answer is kept in reserve
	resendDelay     = 0.4  // seconds until a message is resent to members that have not answered; doubles with each resend
	conflictBackoff = 0.03 // seconds until a rejected ballot is followed by a newer one; doubles with each ballot
	// ChangeTimeout is the time in seconds after which a change is given up. None of its messages is sent later.
	ChangeTimeout = 0.8
	maxChanges    = 4096 // changes in progress; further ones are rejected
	// lateThreshold is the time in seconds, in addition to the round trips, after which a change is late. Its caller soon asks
	// another server or gives up.
	lateThreshold          = 0.12
	maxRoundTrip           = 0.12 // upper bound in seconds of the round-trip time used to detect late changes
	roundTripGrowth        = 0.01 // relative growth per second of the recorded minimum round-trip time
	maxLateShareForClaims  = 0.25 // share of late changes above which no new claims are accepted
	maxLateShareForSettles = 0.75 // share of late changes above which no settlements are accepted
	roundTripsPerChange    = 2    // of a change with a prepare phase
	// Up to this many late changes are no sign of overload: their keys may be contended, or a member may have failed.
	toleratedLateChanges = 8
	sweepInterval        = 1.0 // seconds
	// windowSlack is added to the retention window, in seconds. A server measures the age of a value from when it received the
	// value or restored it at a restart, so values are kept too long rather than too short.
	windowSlack = 15.0
)

// permanentPrefix starts the names of registers that never expire. No key of an operation starts with it.
const permanentPrefix = "\x00"

// Permanent returns the name of a register that never expires.
func Permanent(name string) string { return permanentPrefix + name }

func isPermanent(key string) bool { return strings.HasPrefix(key, permanentPrefix) }

// ViewKey is the register that holds the next view. The successor of a joint view is decided by a majority of its old members
// alone. Every joint quorum contains such a majority, so completing and abandoning a membership change exclude each other, and
// a joint view can be left while a majority of the old members is available, whichever new members are lost.
var ViewKey = Permanent("view")

// hasQuorum reports whether the members for which has returns true form a quorum for a ballot of a register.
func (rs *Registers) hasQuorum(key string, has func(view.Member) bool) bool {
	if key == ViewKey {
		return rs.view.OldQuorum(has)
	}
	return rs.view.Quorum(has)
}

// Effects are the actions that a state machine requests. Sends are sent at once, Puts are written to disk, and After is sent
// once the Puts are synced.
type Effects struct {
	Sends []transport.Send
	Puts  []store.Put
	After []transport.Send
}

// entry is the state of a register on this server's disk.
type entry struct {
	promised, accepted Ballot
	value              *meshpb.Receipt
	receivedAt         float64 // when this server received the value
	position           uint64  // in the order in which entries changed since the process started
	chosen             bool    // the accepted value was chosen by this server's own ballot since the process started
}

// Registers is one server's replica of all registers. Its methods take the time in seconds on a monotonic clock.
type Registers struct {
	Checks *invariant.Checks

	self         view.Member
	view         view.View
	addresses    []string // addresses of the view's members
	node         uint32   // this server's number in the view, from 1; 0: not a member
	life         uint32   // random number of this start of the process
	window       float64  // retention time of values in seconds, including windowSlack
	fastPathFrom float64  // time from which values chosen in earlier epochs have expired everywhere
	homedKeys    homedKeys
	homedIndex   homedIndex
	voting       bool

	entries      map[string]*entry
	position     uint64 // position of the newest entry in entryOrder
	entryOrder   changeOrder
	changes      map[string]*change // in progress, by key
	changesByID  map[uint64]*change
	waiting      map[string][]*change // by key, behind the change in progress
	lastID       uint64               // of the changes started
	effects      Effects
	nextSweep    float64
	lateChanges  int     // number of late changes at the last tick
	minRoundTrip float64 // recent minimum time in seconds for a round trip to a quorum; 0: unknown
	lastTick     float64
	slowUntil    map[view.Member]float64 // time until which a member is kept in reserve
	homeLookups  uint64                  // number of calls of homeAddress
}

// New returns the registers of a server. window is the retention time of a key's answer in seconds. life is a random number
// that differs for each start of the process, and is not 0.
func New(self view.Member, life uint32, window float64) *Registers {
	return &Registers{Checks: &invariant.Checks{}, self: self, life: life, window: window + windowSlack,
		lastID: uint64(life) << 32, entries: map[string]*entry{},
		changes: map[string]*change{}, changesByID: map[uint64]*change{}, waiting: map[string][]*change{},
		slowUntil: map[view.Member]float64{}}
}

// SetView sets the view in force. fastPathFrom is the time from which the home of a key may skip the prepare phase of the key's
// first ballot, whatever the other members hold: immediately in the founding view, and after the retention window in later
// views. Changes in progress start again in the new epoch, or are aborted if this server does not vote in it.
func (rs *Registers) SetView(now float64, v view.View, fastPathFrom float64) {
	if v.Epoch == rs.view.Epoch {
		return
	}
	rs.view, rs.node, rs.fastPathFrom = v, v.Node(rs.self), fastPathFrom
	rs.addresses = v.Addresses()
	rs.homedKeys, rs.homedIndex = homedKeys{}, homedIndex{}
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

// FastPathDelay returns the age of an epoch in seconds from which first ballots may skip the prepare phase unconditionally.
func (rs *Registers) FastPathDelay() float64 { return rs.window }

// StartVoting lets this server vote. Its disk must hold every promise that it made and everything that was chosen before it
// joined.
func (rs *Registers) StartVoting() { rs.voting = rs.node > 0 }

// Voting reports whether this server votes.
func (rs *Registers) Voting() bool { return rs.voting }

// Reset deletes all registers and gives the server a new identity: from now on its disk counts as another one.
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

// StateCounts returns the number of registers by the state of their value, and the age in seconds of the oldest claim that has
// not been settled.
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

// Size returns the number of registers held and of changes in progress.
func (rs *Registers) Size() (registers, changes int) { return len(rs.entries), len(rs.changes) }

// TakeEffects returns the effects requested since the last call.
func (rs *Registers) TakeEffects() Effects {
	effects := rs.effects
	rs.effects = Effects{}
	return effects
}

// HomeOrder returns the servers in the order in which they are asked for a key's claims. The first is the key's home, and the
// others follow if it does not answer.
func HomeOrder(key string, servers []string) []string { return rendezvous.Order(key, servers) }

// homeAddress returns the address of the key's home, the member to which its claims are sent first.
func (rs *Registers) homeAddress(key string) string {
	rs.homeLookups++
	return rendezvous.First(key, rs.addresses)
}

// HomeLookups returns how often the home of a key was computed since the start. Each time costs a hash for each member.
func (rs *Registers) HomeLookups() uint64 { return rs.homeLookups }

// isHome reports whether this server is the home of a key in this epoch. A joint view has no homes, so no server takes the fast
// path in it.
func (rs *Registers) isHome(key string) bool {
	return !rs.view.Joint() && rs.homeAddress(key) == rs.self.Address
}

// promisedBallot returns the ballot that this server has promised for a key in this epoch, which is at least the first ballot,
// promised to the key's home. A server that holds a value of an earlier epoch does not promise the first ballot: the home may
// not have seen that value, so it has to prepare. At least one member of every quorum holds what was chosen before, so no first
// ballot without a prepare phase can replace it.
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

// LocalValue returns the value of a register on this server's disk, whether it was chosen or not, and the ballot at which it
// was accepted.
func (rs *Registers) LocalValue(name string) (value *meshpb.Receipt, accepted Ballot) {
	if e := rs.entries[name]; e != nil {
		return e.value, e.accepted
	}
	return nil, Ballot{}
}

// Tick advances changes that have no quorum yet, gives up those that exceeded ChangeTimeout, and deletes the registers of
// operations that are older than the retention window with its slack.
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

// overloaded reports whether maxChanges are in progress, or more than toleratedLateChanges and more than the given share of the
// changes are late. Further changes would only delay all of them.
func (rs *Registers) overloaded(share float64) bool {
	return len(rs.changes) >= maxChanges ||
		rs.lateChanges > toleratedLateChanges && float64(rs.lateChanges) > share*float64(len(rs.changes))
}

func (rs *Registers) deleteExpired(now float64) {
	for key, e := range rs.entries {
		if now > e.receivedAt+rs.window && rs.changes[key] == nil && !isPermanent(key) {
			delete(rs.entries, key)
			rs.effects.Puts = append(rs.effects.Puts, store.Put{Name: valuePrefix + key})
		}
	}
}

// orderedChanges returns the changes in progress in the order in which they started.
func (rs *Registers) orderedChanges() []*change {
	all := make([]*change, 0, len(rs.changes))
	for _, c := range rs.changesByID {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *change) int { return cmp.Compare(a.id, b.id) })
	return all
}
