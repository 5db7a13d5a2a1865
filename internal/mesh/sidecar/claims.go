package sidecar

import (
	"cmp"
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/throttle"
	"beechwing/internal/mesh/transport"
)

// This file binds idempotency keys to runs. Before a request with a key goes to the host, a claim binds the key to its
// run here. When the run has ended, a settle message records the outcome. Both go to control servers, which may be
// slow, unreachable or overloaded. What this sidecar sends them stays in proportion to what they answer: claims are
// throttled by the recent answers, a slow claim is hedged at another server only within a budget, and a settle message
// is retried with exponential backoff.

const (
	deprioritizedFor     = 1.5  // seconds for which a control server that did not answer is asked last
	minHedgeDelay        = 0.12 // seconds; lower bound of the delay until a claim is hedged at the next control server
	hedgeDelayFactor     = 2.0  // that delay, as a multiple of the server's mean answer time
	maxHedgeDelay        = 0.24 // seconds; upper bound of that delay
	meanAnswerStep       = 0.1  // weight of one answer in the mean answer time
	claimTimeout         = 0.36 // seconds until a claim is given up; nothing has been sent to the host by then
	hedgeBudgetEarn      = 0.1  // hedges earned by each answered claim
	maxHedgeBudget       = 5.0  // hedges that can be saved up
	overloadRetryAfterMs = 300  // milliseconds after which the sender may retry, if the control plane has no capacity for the claim
	settleRetryDelay     = 0.25 // seconds until a settle message is sent again; doubles with each attempt
	maxSettleAttempts    = 6
	maxSettles           = 4096
)

// keyRPCs holds the outstanding RPCs to control servers about idempotency keys.
type keyRPCs struct {
	claims             map[uint64]*claimRPC
	settles            map[uint64]*settleRPC
	deprioritizedUntil map[string]float64 // by control server that did not answer: the time until which it is asked last
	throttle           throttle.Throttle  // of claims and settle messages
	meanAnswerSeconds  map[string]float64 // until a control server answers a claim, by server
	hedgeBudget        float64            // hedges that may be sent now
}

func (k *keyRPCs) init() {
	k.claims, k.settles, k.hedgeBudget = map[uint64]*claimRPC{}, map[uint64]*settleRPC{}, maxHedgeBudget
	k.deprioritizedUntil, k.meanAnswerSeconds = map[string]float64{}, map[string]float64{}
}

// hedgeAt returns when an unanswered claim is hedged. The delay follows the server's usual answer time, since a control
// server in another region takes longer without being at fault.
func (k *keyRPCs) hedgeAt(rpc *claimRPC) float64 {
	return rpc.sentAt + min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*k.meanAnswerSeconds[rpc.server]))
}

// recordAnswerTime records how long a control server took to answer a claim.
func (k *keyRPCs) recordAnswerTime(now float64, rpc *claimRPC) {
	seconds := now - rpc.sentAt
	if was, known := k.meanAnswerSeconds[rpc.server]; known {
		seconds = was + meanAnswerStep*(seconds-was)
	}
	k.meanAnswerSeconds[rpc.server] = seconds
}

// claim is the state of a job's claim.
type claim struct {
	registers   []string // not claimed yet; the first one is being claimed
	granted     []string // registers that are claimed
	servers     []string // not asked yet about the register that is being claimed
	outstanding []uint64 // IDs of the unanswered RPCs
	startedAt   float64  // when the claim began; 0: not yet
	mayBeHeld   bool     // a control server may have bound the key to this job
}

// claimRPC is a claim that was sent to one control server.
type claimRPC struct {
	job     *job
	server  string
	sentAt  float64
	overdue bool // its hedge was sent, or the budget did not allow one
}

// settleRPC records the outcome of a run or voids a token. It is tried until a control server acknowledges it, but at most
// maxSettleAttempts times.
type settleRPC struct {
	key      string
	receipt  *meshpb.Receipt
	ifFree   bool
	done     func(state uint32) // called with the answer; may be nil
	servers  []string
	server   string // empty: the throttle held this attempt back
	sentAt   float64
	attempts int
}

// urgent reports whether this is the first message with a run's outcome. Repeats of the request wait for that outcome, so
// the throttle does not hold this message back.
func (settling *settleRPC) urgent() bool {
	return settling.attempts == 1 && settling.receipt.State != register.Void
}

// retryAt returns when the message is sent again.
func (settling *settleRPC) retryAt() float64 {
	return settling.sentAt + settleRetryDelay*float64(uint(1)<<(settling.attempts-1))
}

// closeClaim drops the outstanding claims of a job.
func (k *keyRPCs) closeClaim(j *job) {
	for _, id := range j.claim.outstanding {
		delete(k.claims, id)
	}
	j.claim.outstanding = nil
}

// removeClaim removes one outstanding claim.
func (k *keyRPCs) removeClaim(id uint64, j *job) {
	delete(k.claims, id)
	j.claim.outstanding = slices.DeleteFunc(j.claim.outstanding, func(open uint64) bool { return open == id })
}

// beginClaim claims the key of a request for its run here. Nothing goes to the host until the claim is granted.
func (adm *admission) beginClaim(j *job) {
	j.claim.startedAt, j.claim.registers = adm.sidecar.now, registersOf(j.forward.Key)
	adm.claimNextRegister(j)
}

// claimNextRegister claims the first register of those that are left.
func (adm *admission) claimNextRegister(j *job) {
	j.claim.servers = adm.serversFor(j.claim.registers[0])
	adm.claimAtNextServer(j)
}

// claimAtNextServer sends the claim to the next control server. If there is none left, or the throttle allows no claim,
// the job ends, unless a claim is outstanding. The job also ends if a control server may have bound the key, no claim is
// outstanding and all servers left have failed to answer lately, or if the claim has taken too long.
func (adm *admission) claimAtNextServer(j *job) {
	c := &j.claim
	allDeprioritized := len(c.outstanding) == 0 && c.mayBeHeld && !slices.ContainsFunc(c.servers,
		func(server string) bool { return adm.sidecar.now >= adm.keys.deprioritizedUntil[server] })
	switch {
	case len(c.servers) == 0 || allDeprioritized:
		if len(c.outstanding) == 0 {
			adm.failClaim(j, 0)
		}
		return
	case adm.claimTimedOut(j):
		adm.failClaim(j, 0)
		return
	case !adm.keys.throttle.Allow(adm.sidecar.now, adm.sidecar.randomFloat()):
		if len(c.outstanding) == 0 {
			adm.failClaim(j, overloadRetryAfterMs)
		}
		return
	}
	id := adm.sidecar.nextID()
	rpc := &claimRPC{job: j, server: c.servers[0], sentAt: adm.sidecar.now}
	adm.keys.claims[id], c.outstanding, c.servers = rpc, append(c.outstanding, id), c.servers[1:]
	m := &meshpb.Claim{Key: c.registers[0], Token: j.forward.Token, Attempt: j.forward.Attempt,
		Gate: adm.sidecar.opts.Self, GateLife: adm.sidecar.incarnation}
	adm.sidecar.send(rpc.server, adm.sidecar.newRPC(id, &meshpb.Message{Claim: m}))
}

// claimTimedOut reports whether a claim has taken so long that the request may not go to the host any more.
func (adm *admission) claimTimedOut(j *job) bool {
	return adm.sidecar.now > j.claim.startedAt+claimTimeout || adm.sidecar.now >= j.deadline
}

// failClaim ends a job whose key could not be claimed. backMs is not 0 if the control plane has no capacity.
func (adm *admission) failClaim(j *job, backMs uint32) {
	j.claim.mayBeHeld = j.claim.mayBeHeld || len(j.claim.outstanding) > 0
	adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), BackMs: backMs})
}

// serversFor returns the control servers in the order in which they are asked about a key. Servers that did not answer
// lately come last.
func (adm *admission) serversFor(key string) []string {
	all := register.HomeOrder(key, adm.sidecar.discovery.servers)
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(btoi(adm.sidecar.now < adm.keys.deprioritizedUntil[a]),
			btoi(adm.sidecar.now < adm.keys.deprioritizedUntil[b]))
	})
	return all
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// deprioritize records that a control server did not answer, or could not decide.
func (adm *admission) deprioritize(server string) {
	if slices.Contains(adm.sidecar.discovery.servers, server) {
		adm.keys.deprioritizedUntil[server] = adm.sidecar.now + deprioritizedFor
	}
}

// receiveClaimed handles a control server's answer to a claim or to a settle message.
func (adm *admission) receiveClaimed(from string, m *meshpb.Message) {
	settling, rpc := adm.keys.settles[m.Id], adm.keys.claims[m.Id]
	asked, token := "", m.Claimed.Token
	switch {
	case settling != nil:
		asked, token = settling.server, settling.receipt.Token
	case rpc != nil:
		asked, token = rpc.server, rpc.job.forward.Token
	}
	switch {
	case !adm.sidecar.acceptsResponse(from, m, asked):
	case m.Claimed.Token != token:
		adm.sidecar.drop(from, m, dropOtherToken)
	case settling != nil:
		adm.settleAnswered(m.Id, settling, m.Claimed.State)
	default:
		adm.keys.removeClaim(m.Id, rpc.job)
		adm.handleClaimed(rpc, m.Claimed)
	}
}

// handleClaimed continues a job by the answer to its claim.
func (adm *admission) handleClaimed(rpc *claimRPC, claimed *meshpb.Claimed) {
	j := rpc.job
	if claimed.State == register.Unsure {
		adm.claimUndecided(rpc, claimed)
		return
	}
	j.claim.mayBeHeld = true
	adm.keys.recordAnswerTime(adm.sidecar.now, rpc)
	adm.keys.throttle.Accepted(adm.sidecar.now)
	adm.keys.hedgeBudget = min(maxHedgeBudget, adm.keys.hedgeBudget+hedgeBudgetEarn)
	adm.keys.closeClaim(j) // the other outstanding claims ask for the same
	switch claimed.State {
	case register.Claimed:
		if adm.sidecar.now >= j.deadline {
			adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
			return
		}
		// The host may have changed during the claim.
		if own := adm.sidecar.discovery.own; own.Station != j.forward.Station || own.Condition == Gone {
			adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "the host has gone"})
			return
		}
		j.claim.granted, j.claim.registers = append(j.claim.granted, j.claim.registers[0]), j.claim.registers[1:]
		if len(j.claim.registers) > 0 {
			adm.claimNextRegister(j)
			return
		}
		adm.enqueue(j)
	case register.Busy:
		adm.releaseGranted(j, register.Void, nil)
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Busy)})
	case register.Done:
		adm.releaseGranted(j, register.Done, claimed.Receipt)
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Kept), Status: claimed.Receipt.GetStatus(),
			Fields: claimed.Receipt.GetFields(), Body: claimed.Receipt.GetBody()})
	case register.Lost:
		adm.releaseGranted(j, register.Lost, nil)
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Lost)})
	default:
		adm.releaseGranted(j, register.Void, nil)
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "its claim was given back"})
	}
}

// releaseGranted settles the registers that were granted to a job whose operation has ended, or is under way, under another
// spelling of its host name. ended is the recorded response if the state is Done.
func (adm *admission) releaseGranted(j *job, state register.State, ended *meshpb.Receipt) {
	for _, name := range j.claim.granted {
		adm.settleRegister(name, &meshpb.Receipt{Token: j.forward.Token, State: state, Attempt: j.forward.Attempt,
			Status: ended.GetStatus(), Fields: ended.GetFields(), Body: ended.GetBody()}, nil)
	}
}

// claimUndecided handles the answer of a control server that could not decide a claim.
func (adm *admission) claimUndecided(rpc *claimRPC, claimed *meshpb.Claimed) {
	j := rpc.job
	j.claim.mayBeHeld = j.claim.mayBeHeld || !claimed.Untouched
	if !rpc.overdue { // an overdue claim was counted as failed when it became overdue
		adm.keys.throttle.Failed(adm.sidecar.now)
	}
	if claimed.Overloaded {
		if len(j.claim.outstanding) == 0 && !adm.spendHedgeBudget() {
			adm.failClaim(j, overloadRetryAfterMs)
			return
		}
	} else {
		adm.deprioritize(rpc.server)
	}
	if len(j.claim.outstanding) == 0 {
		adm.claimAtNextServer(j)
	}
}

// spendHedgeBudget reports whether the budget allows a further claim of a job, and if so takes it off the budget.
func (adm *admission) spendHedgeBudget() bool {
	if adm.keys.hedgeBudget < 1 {
		return false
	}
	adm.keys.hedgeBudget--
	return true
}

// settle records how the run of an operation ended in all its registers.
func (adm *admission) settle(key string, receipt *meshpb.Receipt) {
	for _, name := range registersOf(key) {
		adm.settleRegister(name, receipt, nil)
	}
}

// settleRegister records how a run ended in one register, with retries until a control server acknowledges it or
// maxSettleAttempts is reached. done, if it is not nil, is called with the state of the register once one acknowledges it.
func (adm *admission) settleRegister(name string, receipt *meshpb.Receipt, done func(state uint32)) {
	if len(adm.keys.settles) >= maxSettles {
		return // the key stays claimed, and its run ends as lost
	}
	adm.sendSettle(&settleRPC{key: name, receipt: receipt, done: done})
}

// voidIfFree voids a token unless its claim was granted, and passes the resulting state of the key to done.
// If no control server decides, done is never called. The register that is claimed first decides: while the token is void
// there, no other register is claimed for it.
func (adm *admission) voidIfFree(key string, token uint64, done func(state uint32)) {
	if len(adm.keys.settles) < maxSettles {
		adm.sendSettle(&settleRPC{key: key, receipt: &meshpb.Receipt{Token: token, State: register.Void}, ifFree: true, done: done})
	}
}

// sendSettle sends a settle message to the next control server, up to maxSettleAttempts times.
func (adm *admission) sendSettle(settling *settleRPC) {
	if len(settling.servers) == 0 {
		settling.servers = adm.serversFor(settling.key)
	}
	if settling.server != "" {
		adm.keys.throttle.Failed(adm.sidecar.now)
	}
	if settling.attempts++; len(settling.servers) == 0 || settling.attempts > maxSettleAttempts {
		return
	}
	id := adm.sidecar.nextID()
	settling.sentAt = adm.sidecar.now
	adm.keys.settles[id] = settling
	allowed := adm.keys.throttle.Allow(adm.sidecar.now, adm.sidecar.randomFloat())
	if settling.server = ""; !allowed && !settling.urgent() { // throttled: sent after the next backoff
		return
	}
	settling.server = settling.servers[0]
	settling.servers = settling.servers[1:]
	settle := &meshpb.Settle{Key: settling.key, Receipt: settling.receipt, IfFree: settling.ifFree}
	adm.sidecar.send(settling.server, adm.sidecar.newRPC(id, &meshpb.Message{Settle: settle}))
}

// settleAnswered ends a settle message by its answer. If the server found no majority, the retries go on.
func (adm *admission) settleAnswered(id uint64, settling *settleRPC, state uint32) {
	if state == register.Unsure {
		return
	}
	delete(adm.keys.settles, id)
	adm.keys.throttle.Accepted(adm.sidecar.now)
	if settling.done != nil {
		settling.done(state)
	}
}

// connectionLost handles the loss of the connection to a control server. The messages of which nothing was sent to that
// server go to the next one.
func (adm *admission) connectionLost(lost transport.Disconnected) {
	for _, id := range lost.Unsent {
		if rpc := adm.keys.claims[id]; rpc != nil && rpc.server == lost.Peer {
			adm.keys.removeClaim(id, rpc.job)
			adm.deprioritize(rpc.server)
			if len(rpc.job.claim.outstanding) == 0 {
				adm.claimAtNextServer(rpc.job)
			}
		}
		if settling := adm.keys.settles[id]; settling != nil && settling.server == lost.Peer {
			delete(adm.keys.settles, id)
			adm.sendSettle(settling)
		}
	}
}

// tickKeys hedges overdue claims, gives up those that took too long, and retries settle messages.
func (adm *admission) tickKeys() {
	for _, id := range slices.Sorted(maps.Keys(adm.keys.claims)) {
		rpc := adm.keys.claims[id]
		switch {
		case rpc == nil: // its job ended earlier in this loop
		case adm.claimTimedOut(rpc.job):
			adm.failClaim(rpc.job, 0)
		case !rpc.overdue && adm.sidecar.now > adm.keys.hedgeAt(rpc):
			rpc.overdue = true
			adm.keys.throttle.Failed(adm.sidecar.now)
			adm.deprioritize(rpc.server)
			if adm.spendHedgeBudget() {
				adm.claimAtNextServer(rpc.job)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(adm.keys.settles)) {
		if settling := adm.keys.settles[id]; adm.sidecar.now > settling.retryAt() {
			delete(adm.keys.settles, id)
			adm.sendSettle(settling)
		}
	}
}
