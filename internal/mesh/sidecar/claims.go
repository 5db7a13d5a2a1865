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
	muteFor      = 1.5  // seconds for which a control process that did not answer is asked last
	claimAsk     = 0.12 // seconds at least until the next control process is asked for a claim beside the first,
	claimSlow    = 2.0  // or so many times what answers of the first usually take,
	claimLate    = 0.24 // and at most
	tookStep     = 0.1  // weight of one answer in that
	claimMost    = 0.36 // and until it is given up: nothing has been sent to the host then
	furtherEarn  = 0.1  // further questions for each claim that is answered
	furtherMost  = 5.0  // that are saved up
	overloadBack = 300  // milliseconds until a client is to come back whose claim the control plane has no room for
	settleAsk    = 0.25 // seconds until the end of a run is told again; twice as long after each time
	settleTries  = 6
	mostSettles  = 4096
)

// keys is what this proxy has asked control processes about operations' keys.
type keys struct {
	claims   map[uint64]*claimQuestion
	settles  map[uint64]*settling
	mute     map[string]float64 // control processes that did not answer, until when they are asked last
	throttle throttle.Throttle  // of claims
	took     map[string]float64 // mean seconds until a control process answers a claim
	further  float64            // questions that may go out beside one that is not answered yet
}

func (k *keys) init() {
	k.claims, k.settles, k.further = map[uint64]*claimQuestion{}, map[uint64]*settling{}, furtherMost
	k.mute, k.took = map[string]float64{}, map[string]float64{}
}

// lateAt is when the answer to a question is late: a control process in another region takes longer, and is no worse for that.
func (k *keys) lateAt(q *claimQuestion) float64 {
	return q.asked + min(claimLate, max(claimAsk, claimSlow*k.took[q.at]))
}

// sawAnswer notes how long a control process took to answer a claim.
func (k *keys) sawAnswer(now float64, q *claimQuestion) {
	seconds := now - q.asked
	if was, known := k.took[q.at]; known {
		seconds = was + tookStep*(seconds-was)
	}
	k.took[q.at] = seconds
}

// claim is a job's part of that.
type claim struct {
	servers  []string // not asked yet
	open     []uint64 // questions that are not answered
	began    float64  // when the first went out; 0: none has
	mayStand bool     // a control process may have bound the key to this job
}

// claimQuestion is a claim on its way.
type claimQuestion struct {
	job   *job
	at    string // whom
	asked float64
	late  bool // the next one has been asked, or may not be
}

// settling is word on the end of a run, until a control process has taken it.
type settling struct {
	key     string
	receipt *meshpb.Receipt
	ifFree  bool
	told    func(state uint32) // nil: nobody waits for it
	servers []string
	at      string // whom
	asked   float64
	tries   int
}

// urgent says that it is the first word on a run's answer, which repeats of the request wait for.
func (s *settling) urgent() bool { return s.tries == 1 && s.receipt.State != register.Void }

// againAt is when it is to be told again.
func (s *settling) againAt() float64 { return s.asked + settleAsk*float64(uint(1)<<(s.tries-1)) }

// close forgets the questions of a job.
func (k *keys) close(j *job) {
	for _, id := range j.claim.open {
		delete(k.claims, id)
	}
	j.claim.open = nil
}

// answered takes a question off the books.
func (k *keys) answered(id uint64, j *job) {
	delete(k.claims, id)
	j.claim.open = slices.DeleteFunc(j.claim.open, func(open uint64) bool { return open == id })
}

// beginClaim asks that a request's key be bound to its run here. Until that is granted nothing goes to the host.
func (g *admission) beginClaim(j *job) {
	j.claim.began, j.claim.servers = g.p.now, g.homes(j.carry.Key)
	g.askNext(j)
}

// askNext puts the claim to the next control process. Without one, or where they have no room, the job ends once no answer can come.
func (g *admission) askNext(j *job) {
	c := &j.claim
	allMute := len(c.open) == 0 && c.mayStand && !slices.ContainsFunc(c.servers, func(h string) bool { return g.p.now >= g.keys.mute[h] })
	switch {
	case len(c.servers) == 0 || allMute:
		if len(c.open) == 0 {
			g.unclaimed(j, 0)
		}
		return
	case g.claimOver(j):
		g.unclaimed(j, 0)
		return
	case !g.keys.throttle.Allow(g.p.now, g.p.draw()):
		if len(c.open) == 0 {
			g.unclaimed(j, overloadBack)
		}
		return
	}
	id := g.p.id()
	q := &claimQuestion{job: j, at: c.servers[0], asked: g.p.now}
	g.keys.claims[id], c.open, c.servers = q, append(c.open, id), c.servers[1:]
	m := &meshpb.Claim{Key: j.carry.Key, Token: j.carry.Token, Attempt: j.carry.Attempt, Gate: g.p.o.Self, GateLife: g.p.life}
	g.p.send(q.at, g.p.question(id, &meshpb.Message{Claim: m}))
}

// claimOver says that a claim has taken so long that nothing may go to the host any more.
func (g *admission) claimOver(j *job) bool {
	return g.p.now > j.claim.began+claimMost || g.p.now >= j.until
}

// unclaimed ends a job whose key was not bound. backMs is set where the control plane has no room for it.
func (g *admission) unclaimed(j *job, backMs uint32) {
	j.claim.mayStand = j.claim.mayStand || len(j.claim.open) > 0
	g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), BackMs: backMs})
}

// homes are the control processes in the order in which one asks them for a key. Those that did not answer lately come last.
func (g *admission) homes(key string) []string {
	all := register.Home(key, g.p.discovery.servers)
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(btoi(g.p.now < g.keys.mute[a]), btoi(g.p.now < g.keys.mute[b]))
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
func (g *admission) muted(server string) {
	if slices.Contains(g.p.discovery.servers, server) {
		g.keys.mute[server] = g.p.now + muteFor
	}
}

// claimed takes a control process's answer to a claim or to word on the end of a run.
func (g *admission) claimed(from string, m *meshpb.Message) {
	s, q := g.keys.settles[m.Id], g.keys.claims[m.Id]
	asked, token := "", m.Claimed.Token
	switch {
	case s != nil:
		asked, token = s.at, s.receipt.Token
	case q != nil:
		asked, token = q.at, q.job.carry.Token
	}
	switch {
	case !g.p.accepts(from, m, asked):
	case m.Claimed.Token != token:
		g.p.drop(from, m, dropToken)
	case s != nil:
		g.settled(m.Id, s, m.Claimed.State)
	default:
		g.keys.answered(m.Id, q.job)
		g.granted(q, m.Claimed)
	}
}

// granted takes what became of a claim.
func (g *admission) granted(q *claimQuestion, c *meshpb.Claimed) {
	j := q.job
	if c.State == register.Unsure {
		g.notGranted(q, c)
		return
	}
	j.claim.mayStand = true
	g.keys.sawAnswer(g.p.now, q)
	g.keys.throttle.Accepted(g.p.now)
	g.keys.further = min(furtherMost, g.keys.further+furtherEarn)
	g.keys.close(j) // what else was asked asks for the same
	switch c.State {
	case register.Claimed:
		if g.p.now >= j.until {
			g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
			return
		}
		if own := g.p.discovery.own; own.Station != j.carry.Station || own.Condition == Gone { // meanwhile
			g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "the host has gone"})
			return
		}
		g.enter(j)
	case register.Busy:
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Busy)})
	case register.Done:
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Kept), Status: c.Receipt.GetStatus(), Fields: c.Receipt.GetFields(),
			Body: c.Receipt.GetBody()})
	case register.Lost:
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Lost)})
	default:
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Unclaimed), Why: "its claim was given back"})
	}
}

// notGranted goes on after a control process that could not say.
func (g *admission) notGranted(q *claimQuestion, c *meshpb.Claimed) {
	j := q.job
	j.claim.mayStand = j.claim.mayStand || !c.Untouched
	if !q.late { // it has been counted else
		g.keys.throttle.Failed(g.p.now)
	}
	if c.Overloaded {
		if len(j.claim.open) == 0 && !g.mayAskFurther() {
			g.unclaimed(j, overloadBack)
			return
		}
	} else {
		g.muted(q.at)
	}
	if len(j.claim.open) == 0 {
		g.askNext(j)
	}
}

// mayAskFurther takes a question beyond a claim's first off the budget, if there is one.
func (g *admission) mayAskFurther() bool {
	if g.keys.further < 1 {
		return false
	}
	g.keys.further--
	return true
}

// settle tells how a run ended, until a control process has taken it.
func (g *admission) settle(key string, r *meshpb.Receipt) {
	if len(g.keys.settles) >= mostSettles {
		return // its key stays claimed, and ends as lost
	}
	g.tellEnd(&settling{key: key, receipt: r})
}

// voidIfFree keeps claims of a token out, and tells whether that was in time.
func (g *admission) voidIfFree(key string, token uint64, told func(state uint32)) {
	if len(g.keys.settles) < mostSettles {
		g.tellEnd(&settling{key: key, receipt: &meshpb.Receipt{Token: token, State: register.Void}, ifFree: true, told: told})
	}
}

// tellEnd sends word on the end of a run to the next control process.
func (g *admission) tellEnd(s *settling) {
	if len(s.servers) == 0 {
		s.servers = g.homes(s.key)
	}
	if s.at != "" {
		g.keys.throttle.Failed(g.p.now)
	}
	if s.tries++; len(s.servers) == 0 || s.tries > settleTries {
		return
	}
	id := g.p.id()
	s.asked = g.p.now
	g.keys.settles[id] = s
	allowed := g.keys.throttle.Allow(g.p.now, g.p.draw())
	if s.at = ""; !allowed && !s.urgent() { // it has its turn after the next pause
		return
	}
	s.at = s.servers[0]
	s.servers = s.servers[1:]
	settle := &meshpb.Settle{Key: s.key, Receipt: s.receipt, IfFree: s.ifFree}
	g.p.send(s.at, g.p.question(id, &meshpb.Message{Settle: settle}))
}

// settled ends the telling of how a run ended. Of what no majority was found for it goes on.
func (g *admission) settled(id uint64, s *settling, state uint32) {
	if state == register.Unsure {
		return
	}
	delete(g.keys.settles, id)
	g.keys.throttle.Accepted(g.p.now)
	if s.told != nil {
		s.told(state)
	}
}

// broke goes on to the next control process with what the one that is gone had in hand.
func (g *admission) broke(b transport.Broke) {
	for _, id := range b.Unsent {
		if q := g.keys.claims[id]; q != nil && q.at == b.Peer {
			g.keys.answered(id, q.job)
			g.muted(q.at)
			if len(q.job.claim.open) == 0 {
				g.askNext(q.job)
			}
		}
		if s := g.keys.settles[id]; s != nil && s.at == b.Peer {
			delete(g.keys.settles, id)
			g.tellEnd(s)
		}
	}
}

// tickKeys asks others where answers are late, and gives up what has waited for long enough.
func (g *admission) tickKeys() {
	for _, id := range slices.Sorted(maps.Keys(g.keys.claims)) {
		q := g.keys.claims[id]
		switch {
		case q == nil: // its job has ended in here
		case g.claimOver(q.job):
			g.unclaimed(q.job, 0)
		case !q.late && g.p.now > g.keys.lateAt(q):
			q.late = true
			g.keys.throttle.Failed(g.p.now)
			g.muted(q.at)
			if g.mayAskFurther() {
				g.askNext(q.job)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(g.keys.settles)) {
		if s := g.keys.settles[id]; g.p.now > s.againAt() {
			delete(g.keys.settles, id)
			g.tellEnd(s)
		}
	}
}
