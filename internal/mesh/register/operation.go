package register

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// State is the state of a register's value.
type State = uint32

// The states. They go over the wire: only add at the end.
const (
	Free    State = iota // nobody has claimed the key
	Claimed              // somebody has; its run may be under way
	Done                 // it has run, and this is the answer
	Lost                 // it may have run, and nobody knows how that ended
	Void                 // claimed and given back without a run: the token of it claims no more
	Unsure               // no quorum could be asked: nothing was claimed
	Stored               // no key of an operation: the value is the body
)

var stateNames = map[State]string{Free: "free", Claimed: "claimed", Done: "done", Lost: "lost", Void: "void", Stored: "stored"}

const (
	maxVoidedTokens = 24 // tokens that a register remembers as voided
	// A claim that nobody has settled for so long has lost its holder: the answer no longer says that it is at work.
	claimHolderTimeout = 5.0 // seconds
	// A claim that is older than this may have been settled without this server: that it is at work is for a quorum to say. Larger: a
	// repeat is told so for longer after the answer. Smaller: a ballot for each repeat that comes while the first is at work.
	busyTrustPeriod   = 0.7 // seconds
	heldByOtherOffset = 100 // added to Claimed where it is somebody else's
	notStartedOffset  = 200 // added to Unsure where nothing was begun
)

// Busy is the state of a key that somebody else has claimed.
const Busy = Claimed + heldByOtherOffset

// Answers to what was not begun at all. They are not told as states.
const (
	Unavailable = Unsure + notStartedOffset + iota // nothing can be promised from here
	Overloaded                                     // too much is under way here, and gets no answers in time
)

// Claim binds a key to one run. The answer is told once: the state, and what is held. Claimed means that the asker holds it.
func (rs *Registers) Claim(now float64, c *meshpb.Claim, answer func(state State, held *meshpb.Receipt)) {
	if !rs.voting {
		answer(Unavailable, nil)
		return
	}
	if e := rs.entries[c.Key]; e != nil && e.value != nil { // what is known here to hold somebody else's needs no ballot
		_, state := claim(c, e.value)
		if state != Claimed && !e.mayHaveEnded(now, state) {
			answer(state, e.value)
			return
		}
	}
	if w := rs.changes[c.Key]; w != nil && w.proposed != nil && w.proposed.Token != c.Token {
		answer(Busy, nil)
		return
	}
	if rs.overloaded(maxLateShareForClaims) {
		answer(Overloaded, nil)
		return
	}
	rs.startChange(now, &change{key: c.Key, answer: answer,
		edit: func(old *meshpb.Receipt) (*meshpb.Receipt, State) { return claim(c, old) }})
}

func claim(c *meshpb.Claim, old *meshpb.Receipt) (*meshpb.Receipt, State) {
	granted := &meshpb.Receipt{Token: c.Token, State: Claimed, Attempt: c.Attempt, Voided: old.GetVoided(), Gate: c.Gate,
		GateLife: c.GateLife}
	switch {
	case slices.Contains(old.GetVoided(), c.Token): // a late one: its client was promised that it never runs
		return nil, Void
	case old == nil || old.State == Free:
		return granted, Claimed
	case old.State == Void && len(old.Voided) >= maxVoidedTokens: // no more can be remembered, so no more may be promised
		return nil, Busy
	case old.State == Void:
		return granted, Claimed
	case old.State == Claimed && old.Token == c.Token && old.Attempt < c.Attempt: // the attempt before it has not run
		return granted, Claimed
	case old.State == Claimed && isRepeatedClaim(c, old):
		return old, Claimed
	case old.State == Claimed:
		return nil, Busy
	}
	return nil, old.State
}

// askedAgain reports whether a claim is the one that was granted, asked again by the same process, which may not have heard.
// Another gate that was sent the same attempt, or the gate's next process, may not run it a second time.
func isRepeatedClaim(c *meshpb.Claim, held *meshpb.Receipt) bool {
	return held.Token == c.Token && held.Attempt == c.Attempt && held.Gate == c.Gate && held.GateLife == c.GateLife
}

// mayBeOver says whether a claim that stands on this disk may have ended by now.
func (e *entry) mayHaveEnded(now float64, state State) bool {
	return state == Busy && now > e.receivedAt+busyTrustPeriod
}

// aged says that a claim's holder is gone where that is so.
func (rs *Registers) busyOrLost(now float64, e *entry, state State) State {
	if state == Busy && now > e.receivedAt+claimHolderTimeout {
		return Lost
	}
	return state
}

// agedHere does so for what this disk has of a key.
func (rs *Registers) localBusyOrLost(now float64, key string, state State) State {
	if e := rs.entries[key]; e != nil {
		return rs.busyOrLost(now, e, state)
	}
	return state
}

// Settle records how a claimed run ended. A receipt that is void gives the key back, and keeps late claims of its token out.
// With ifFree it only does the latter, and only where no claim was granted: so who asked a proxy that has gone silent learns
// whether the request may still run.
func (rs *Registers) Settle(now float64, key string, r *meshpb.Receipt, ifFree bool,
	answer func(state State, held *meshpb.Receipt)) {
	if !rs.voting || rs.overloaded(maxLateShareForSettles) || !isEndState(r) {
		answer(Unsure, nil)
		return
	}
	end := &settlement{r.Token, r.State, ifFree}
	if c := rs.pendingSettlement(key, end); c != nil { // told again before it was taken
		c.answer = answer
		return
	}
	rs.startChange(now, &change{key: key, answer: answer, settlement: end, linearizable: true, // an end that a retry finds may stand on one disk only
		edit: func(old *meshpb.Receipt) (*meshpb.Receipt, State) { return settle(old, r, ifFree) }})
}

// settlement is which end of which run a change records.
type settlement struct {
	token  uint64
	state  State
	ifFree bool
}

// sameEnd is a change that is under way, or waits, for the same end.
func (rs *Registers) pendingSettlement(key string, end *settlement) *change {
	if c := rs.changes[key]; c != nil && c.settlement != nil && *c.settlement == *end {
		return c
	}
	for _, c := range rs.waiting[key] {
		if c.settlement != nil && *c.settlement == *end {
			return c
		}
	}
	return nil
}

// isEnd reports whether a receipt is the end of a run: a garbled message, or a foreign one, may hold none.
func isEndState(r *meshpb.Receipt) bool {
	switch r.GetState() {
	case Done, Lost, Void:
		return true
	}
	return false
}

func settle(old, end *meshpb.Receipt, ifFree bool) (*meshpb.Receipt, State) {
	r := proto.Clone(end).(*meshpb.Receipt)
	r.Voided = old.GetVoided()
	if r.State == Void && !slices.Contains(r.Voided, r.Token) {
		r.Voided = append(slices.Clone(r.Voided), r.Token)
	}
	switch {
	case old == nil || old.State == Free, old.State == Void && r.State == Void:
		return r, r.State
	case r.State == Void && old.State == Claimed && old.Token != r.Token: // another holds it: only that this one never will
		updated := proto.Clone(old).(*meshpb.Receipt)
		updated.Voided = r.Voided
		return updated, Void
	case ifFree:
	case old.Token == r.Token && old.State == Claimed, old.Token == r.Token && old.State == Lost && r.State == Done:
		return r, r.State
	}
	return nil, old.State
}

// Update changes a register that is no operation's, by what it held: a nil body leaves it. The answer is the version that it has then,
// which grows by one with each change, and its body; ok is false where no quorum said so. It is linearizable: what it answers was
// chosen, and nothing newer was chosen before it was asked.
func (rs *Registers) Update(now float64, name string, edit func(old []byte) []byte,
	answer func(version uint64, body []byte, ok bool)) {
	if !rs.voting || len(rs.changes) >= maxChanges {
		answer(0, nil, false)
		return
	}
	rs.startChange(now, &change{key: name, linearizable: true,
		answer: func(state State, held *meshpb.Receipt) { answer(held.GetToken(), held.GetBody(), state != Unsure) },
		edit: func(old *meshpb.Receipt) (*meshpb.Receipt, State) {
			body := edit(old.GetBody())
			if body == nil {
				return nil, Stored
			}
			return &meshpb.Receipt{Token: old.GetToken() + 1, State: Stored, Body: body}, Stored
		}})
}
