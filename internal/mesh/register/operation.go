package register

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// State is the state of a register's value.
type State = uint32

// The states are sent over the wire: only add new ones at the end.
const (
	Free    State = iota // the key is not claimed
	Claimed              // the key is claimed, and the claimed run may be in progress
	Done                 // the run has ended, and its answer is recorded
	Lost                 // the run may have happened, and its result is unknown
	Void                 // the claim was released without a run, and its token may not claim again
	Unsure               // no quorum was reached, so no claim was granted
	Stored               // the register belongs to no operation, and its body is the value
)

var stateNames = map[State]string{Free: "free", Claimed: "claimed", Done: "done", Lost: "lost", Void: "void", Stored: "stored"}

const (
	maxVoidedTokens = 24 // maximum number of voided tokens that a register stores
	// A claim that has not been settled for claimHolderTimeout seconds has lost its holder and is no longer reported as in
	// progress.
	claimHolderTimeout = 5.0
	// A claim older than busyTrustPeriod seconds may have been settled without this server, so only a quorum can say whether
	// its run is still in progress. With a larger value, a repeated request is told that the run is in progress for longer
	// after its end. With a smaller one, more repeats that arrive during the run cost a ballot.
	busyTrustPeriod   = 0.7
	heldByOtherOffset = 100 // added to Claimed if the claim is held by another caller
	notStartedOffset  = 200 // added to Unsure if no change was started
)

// Busy is the state of a key whose claim is held by another caller.
const Busy = Claimed + heldByOtherOffset

// Answers to claims for which no change was started. They are not sent over the wire as states.
const (
	Unavailable = Unsure + notStartedOffset + iota // this server does not vote
	Overloaded                                     // too many changes are in progress here, or too many of them are late
)

// Claim binds a key to one run. It calls answer once, with the resulting state and the value held. The state Claimed means that
// the caller holds the key.
func (rs *Registers) Claim(now float64, c *meshpb.Claim, answer func(state State, held *meshpb.Receipt)) {
	if !rs.voting {
		answer(Unavailable, nil)
		return
	}
	if e := rs.entries[c.Key]; e != nil && e.value != nil { // no ballot is needed if another caller is known to hold the key
		_, state := claim(c, e.value)
		if state != Claimed && !e.mayHaveEnded(now, state) {
			answer(state, e.value)
			return
		}
	}
	if pending := rs.changes[c.Key]; pending != nil && pending.proposed != nil && pending.proposed.Token != c.Token {
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

// claim returns the value of a key after a claim of it, nil if the claim is not granted, and the state to answer with.
func claim(c *meshpb.Claim, old *meshpb.Receipt) (*meshpb.Receipt, State) {
	granted := &meshpb.Receipt{Token: c.Token, State: Claimed, Attempt: c.Attempt, Voided: old.GetVoided(), Gate: c.Gate,
		GateLife: c.GateLife}
	switch {
	case slices.Contains(old.GetVoided(), c.Token): // a late claim: its client was promised that it never runs
		return nil, Void
	case old == nil || old.State == Free:
		return granted, Claimed
	case old.State == Void && len(old.Voided) >= maxVoidedTokens: // no room to void another token, so no claim may be granted
		return nil, Busy
	case old.State == Void:
		return granted, Claimed
	case old.State == Claimed && old.Token == c.Token && old.Attempt < c.Attempt: // the previous attempt has not run
		return granted, Claimed
	case old.State == Claimed && isRepeatedClaim(c, old):
		return old, Claimed
	case old.State == Claimed:
		return nil, Busy
	}
	return nil, old.State
}

// isRepeatedClaim reports whether a claim repeats the one that was granted, sent by the same process, which may not have
// received the answer. The gate of a claim is the proxy that sent it. Another proxy that was sent the same attempt, or a
// restarted process of the same proxy, must not run it a second time.
func isRepeatedClaim(c *meshpb.Claim, held *meshpb.Receipt) bool {
	return held.Token == c.Token && held.Attempt == c.Attempt && held.Gate == c.Gate && held.GateLife == c.GateLife
}

// mayHaveEnded reports whether the run of a claim stored on this disk may have ended by now.
func (e *entry) mayHaveEnded(now float64, state State) bool {
	return state == Busy && now > e.receivedAt+busyTrustPeriod
}

// busyOrLost returns Lost instead of Busy if the holder of the claim is considered lost, because the claim is older than
// claimHolderTimeout.
func (rs *Registers) busyOrLost(now float64, e *entry, state State) State {
	if state == Busy && now > e.receivedAt+claimHolderTimeout {
		return Lost
	}
	return state
}

// localBusyOrLost applies busyOrLost to this server's entry of a key.
func (rs *Registers) localBusyOrLost(now float64, key string, state State) State {
	if e := rs.entries[key]; e != nil {
		return rs.busyOrLost(now, e, state)
	}
	return state
}

// Settle records how a claimed run ended. A receipt with the state Void releases the key and rejects late claims of its token.
// With ifFree, Settle does not end a granted claim: it rejects late claims of a token that has not been granted the key. A
// caller whose request went to a proxy that no longer answers uses this to learn whether the request may still run.
func (rs *Registers) Settle(now float64, key string, r *meshpb.Receipt, ifFree bool,
	answer func(state State, held *meshpb.Receipt)) {
	if !rs.voting || rs.overloaded(maxLateShareForSettles) || !isEndState(r) {
		answer(Unsure, nil)
		return
	}
	end := &settlement{r.Token, r.State, ifFree}
	if c := rs.pendingSettlement(key, end); c != nil { // repeated while the first settlement is still in progress
		c.answer = answer
		return
	}
	// The change is linearizable because an end that a retry reads may be stored on one disk only.
	rs.startChange(now, &change{key: key, answer: answer, settlement: end, linearizable: true,
		edit: func(old *meshpb.Receipt) (*meshpb.Receipt, State) { return settle(old, r, ifFree) }})
}

// settlement identifies the end of a run that a change records.
type settlement struct {
	token  uint64
	state  State
	ifFree bool
}

// pendingSettlement returns the change, in progress or waiting, that records the same end, or nil.
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

// isEndState reports whether a receipt describes the end of a run. A corrupt message, or one of another origin, may not.
func isEndState(r *meshpb.Receipt) bool {
	switch r.GetState() {
	case Done, Lost, Void:
		return true
	}
	return false
}

// settle returns the value of a key after the end of a run, nil if the end changes nothing, and the state to answer with.
func settle(old, end *meshpb.Receipt, ifFree bool) (*meshpb.Receipt, State) {
	r := proto.Clone(end).(*meshpb.Receipt)
	r.Voided = old.GetVoided()
	if r.State == Void && !slices.Contains(r.Voided, r.Token) {
		r.Voided = append(slices.Clone(r.Voided), r.Token)
	}
	switch {
	case old == nil || old.State == Free, old.State == Void && r.State == Void:
		return r, r.State
	case r.State == Void && old.State == Claimed && old.Token != r.Token: // only record that this token is voided
		updated := proto.Clone(old).(*meshpb.Receipt)
		updated.Voided = r.Voided
		return updated, Void
	case ifFree:
	case old.Token == r.Token && old.State == Claimed, old.Token == r.Token && old.State == Lost && r.State == Done:
		return r, r.State
	}
	return nil, old.State
}

// Update changes a register that belongs to no operation. edit returns the new body for the old one, or nil to leave the
// register unchanged. The answer is the register's resulting version, which grows by one with each change, and its body. ok is
// false if no quorum answered in time. Update is linearizable: the value in the answer was chosen, and no newer one had been
// chosen before Update was called.
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
