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

// An operation's key is bound to its run here before anything goes to the host, and the end of the run is told. Both go to control
// processes, which may be slow, cut off or overloaded. What this proxy sends them stays in proportion to what they answer: claims are
// throttled by the answers of late, a slow answer is waited for while another process is asked only within a budget, and the end
// of a run is told again after pauses that grow.

const (
	deprioritizedFor     = 1.5  // seconds for which a control process that did not answer is asked last
	minHedgeDelay        = 0.12 // seconds at least until the next control process is asked for a claim beside the first,
	hedgeDelayFactor     = 2.0  // or so many times what answers of the first usually take,
	maxHedgeDelay        = 0.24 // and at most
	meanAnswerStep       = 0.1  // weight of one answer in that
	claimTimeout         = 0.36 // and until it is given up: nothing has been sent to the host then
	hedgeBudgetEarn      = 0.1  // further questions for each claim that is answered
	maxHedgeBudget       = 5.0  // that are saved up
	overloadRetryAfterMs = 300  // milliseconds until a client is to come back whose claim the control plane has no room for
	settleRetryDelay     = 0.25 // seconds until the end of a run is told again; twice as long after each time
	maxSettleAttempts    = 6
	maxSettles           = 4096
)

// keys is what this proxy has asked control processes about operations' keys.
type keyRPCs struct {
	claims             map[uint64]*claimRPC
	settles            map[uint64]*settleRPC
	deprioritizedUntil map[string]float64 // control processes that did not answer, until when they are asked last
	throttle           throttle.Throttle  // of claims
	meanAnswerSeconds  map[string]float64 // mean seconds until a control process answers a claim
	hedgeBudget        float64            // questions that may go out beside one that is not answered yet
}

func (k *keyRPCs) init() {
	k.claims, k.settles, k.hedgeBudget = map[uint64]*claimRPC{}, map[uint64]*settleRPC{}, maxHedgeBudget
	k.deprioritizedUntil, k.meanAnswerSeconds = map[string]float64{}, map[string]float64{}
}

// lateAt is when the answer to a question is late: a control process in another region takes longer, and is no worse for that.
func (k *keyRPCs) hedgeAt(rpc *claimRPC) float64 {
	return rpc.sentAt + min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*k.meanAnswerSeconds[rpc.server]))
}

// sawAnswer notes how long a control process took to answer a claim.
func (k *keyRPCs) recordAnswerTime(now float64, rpc *claimRPC) {
	seconds := now - rpc.sentAt
	if was, known := k.meanAnswerSeconds[rpc.server]; known {
		seconds = was + meanAnswerStep*(seconds-was)
	}
	k.meanAnswerSeconds[rpc.server] = seconds
}

// claim is a job's part of that.
type claim struct {
	servers     []string // not asked yet
	outstanding []uint64 // questions that are not answered
	startedAt   float64  // when the first went out; 0: none has
	mayBeHeld   bool     // a control process may have bound the key to this job
}

// claimQuestion is a claim on its way.
type claimRPC struct {
	job     *job
	server  string // whom
	sentAt  float64
	overdue bool // the next one has been asked, or may not be
}

// settling is word on the end of a run, until a control process has taken it.
type settleRPC struct {
	key      string
	receipt  *meshpb.Receipt
	ifFree   bool
	done     func(state uint32) // nil: nobody waits for it
	servers  []string
	server   string // whom
	sentAt   float64
	attempts int
}

// urgent says that it is the first word on a run's answer, which repeats of the request wait for.
func (settling *settleRPC) urgent() bool {
	return settling.attempts == 1 && settling.receipt.State != register.Void
}

// againAt is when it is to be told again.
func (settling *settleRPC) retryAt() float64 {
	return settling.sentAt + settleRetryDelay*float64(uint(1)<<(settling.attempts-1))
}

// close forgets the questions of a job.
func (k *keyRPCs) closeClaim(j *job) {
	for _, id := range j.claim.outstanding {
		delete(k.claims, id)
	}
	j.claim.outstanding = nil
}

// answered takes a question off the books.
func (k *keyRPCs) removeClaim(id uint64, j *job) {
	delete(k.claims, id)
	j.claim.outstanding = slices.DeleteFunc(j.claim.outstanding, func(open uint64) bool { return open == id })
}

// beginClaim asks that a request's key be bound to its run here. Until that is granted nothing goes to the host.
func (adm *admission) beginClaim(j *job) {
	j.claim.startedAt, j.claim.servers = adm.sidecar.now, adm.serversFor(j.forward.Key)
	adm.claimAtNextServer(j)
}

// askNext puts the claim to the next control process. Without one, or where they have no room, the job ends once no answer can come.
func (adm *admission) claimAtNextServer(j *job) {
	c := &j.claim
	allMute := len(c.outstanding) == 0 && c.mayBeHeld && !slices.ContainsFunc(c.servers, func(h string) bool { return adm.sidecar.now >= adm.keys.deprioritizedUntil[h] })
	switch {
	case len(c.servers) == 0 || allMute:
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
	m := &meshpb.Claim{Key: j.forward.Key, Token: j.forward.Token, Attempt: j.forward.Attempt, Gate: adm.sidecar.opts.Self, GateLife: adm.sidecar.incarnation}
	adm.sidecar.send(rpc.server, adm.sidecar.newRPC(id, &meshpb.Message{Claim: m}))
}

// claimOver says that a claim has taken so long that nothing may go to the host any more.
func (adm *admission) claimTimedOut(j *job) bool {
	return adm.sidecar.now > j.claim.startedAt+claimTimeout || adm.sidecar.now >= j.deadline
}

// unclaimed ends a job whose key was not bound. backMs is set where the control plane has no room for it.
func (adm *admission) failClaim(j *job, backMs uint32) {
	j.claim.mayBeHeld = j.claim.mayBeHeld || len(j.claim.outstanding) > 0
	adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), BackMs: backMs})
}

// homes are the control processes in the order in which one asks them for a key. Those that did not answer lately come last.
func (adm *admission) serversFor(key string) []string {
	all := register.Home(key, adm.sidecar.discovery.servers)
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(btoi(adm.sidecar.now < adm.keys.deprioritizedUntil[a]), btoi(adm.sidecar.now < adm.keys.deprioritizedUntil[b]))
	})
	return all
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// muted notes that a control process did not answer, or could do nothing.
func (adm *admission) deprioritize(server string) {
	if slices.Contains(adm.sidecar.discovery.servers, server) {
		adm.keys.deprioritizedUntil[server] = adm.sidecar.now + deprioritizedFor
	}
}

// claimed takes a control process's answer to a claim or to word on the end of a run.
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

// granted takes what became of a claim.
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
	adm.keys.closeClaim(j) // what else was asked asks for the same
	switch claimed.State {
	case register.Claimed:
		if adm.sidecar.now >= j.deadline {
			adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
			return
		}
		if own := adm.sidecar.discovery.own; own.Station != j.forward.Station || own.Condition == Gone { // meanwhile
			adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "the host has gone"})
			return
		}
		adm.enqueue(j)
	case register.Busy:
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Busy)})
	case register.Done:
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Kept), Status: claimed.Receipt.GetStatus(), Fields: claimed.Receipt.GetFields(),
			Body: claimed.Receipt.GetBody()})
	case register.Lost:
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Lost)})
	default:
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "its claim was given back"})
	}
}

// notGranted goes on after a control process that could not say.
func (adm *admission) claimUndecided(rpc *claimRPC, claimed *meshpb.Claimed) {
	j := rpc.job
	j.claim.mayBeHeld = j.claim.mayBeHeld || !claimed.Untouched
	if !rpc.overdue { // it has been counted else
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

// mayAskFurther takes a question beyond a claim's first off the budget, if there is one.
func (adm *admission) spendHedgeBudget() bool {
	if adm.keys.hedgeBudget < 1 {
		return false
	}
	adm.keys.hedgeBudget--
	return true
}

// settle tells how a run ended, until a control process has taken it.
func (adm *admission) settle(key string, receipt *meshpb.Receipt) {
	if len(adm.keys.settles) >= maxSettles {
		return // its key stays claimed, and ends as lost
	}
	adm.sendSettle(&settleRPC{key: key, receipt: receipt})
}

// voidIfFree keeps claims of a token out, and tells whether that was in time.
func (adm *admission) voidIfFree(key string, token uint64, told func(state uint32)) {
	if len(adm.keys.settles) < maxSettles {
		adm.sendSettle(&settleRPC{key: key, receipt: &meshpb.Receipt{Token: token, State: register.Void}, ifFree: true, done: told})
	}
}

// tellEnd sends word on the end of a run to the next control process.
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
	if settling.server = ""; !allowed && !settling.urgent() { // it has its turn after the next pause
		return
	}
	settling.server = settling.servers[0]
	settling.servers = settling.servers[1:]
	settle := &meshpb.Settle{Key: settling.key, Receipt: settling.receipt, IfFree: settling.ifFree}
	adm.sidecar.send(settling.server, adm.sidecar.newRPC(id, &meshpb.Message{Settle: settle}))
}

// settled ends the telling of how a run ended. Of what no majority was found for it goes on.
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

// broke goes on to the next control process with what the one that is gone had in hand.
func (adm *admission) connectionLost(b transport.Broke) {
	for _, id := range b.Unsent {
		if rpc := adm.keys.claims[id]; rpc != nil && rpc.server == b.Peer {
			adm.keys.removeClaim(id, rpc.job)
			adm.deprioritize(rpc.server)
			if len(rpc.job.claim.outstanding) == 0 {
				adm.claimAtNextServer(rpc.job)
			}
		}
		if settling := adm.keys.settles[id]; settling != nil && settling.server == b.Peer {
			delete(adm.keys.settles, id)
			adm.sendSettle(settling)
		}
	}
}

// tickKeys asks others where answers are late, and gives up what has waited for long enough.
func (adm *admission) tickKeys() {
	for _, id := range slices.Sorted(maps.Keys(adm.keys.claims)) {
		rpc := adm.keys.claims[id]
		switch {
		case rpc == nil: // its job has ended in here
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
