package sidecar

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/rendezvous"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sharding"
)

// The host beside this proxy holds keys of its service, which this proxy grants it. All requests to the host pass here, so what is
// sure here is sure for the host: it begins nothing on a key without a lease. A lease rests on an answer of the control plane to
// which assignment is in force, and counts from the question. What the host loses to another is released at once, and the control
// plane is told once that is done; until then, or until all leases have run out, the other one gets nothing.

const (
	leaseAgain    = 0.3  // seconds without an answer until another control process is asked
	releaseAgain  = 0.15 // seconds until a release that failed is tried again
	grantsAtOnce  = 16   // calls in one go
	msPerSecond   = 1000
	statusGranted = 200
)

// KeyCalls has calls made at the host beside this proxy, one after the other. The end of each comes back by KeyCalled.
type KeyCalls struct {
	Calls       []KeyCall
	GrantBefore float64 // a grant is not sent later
}

func (KeyCalls) command() {}

// KeyCall grants keys to the host, or releases them.
type KeyCall struct {
	ID                uint64
	FirstKey, LastKey int // keys
	Fence             uint64
	Release           bool
	HoldMs            int    // of a grant
	Handover          string // of a grant, what the former holder told; empty: nothing
}

// KeyResult is the end of a KeyCall.
type KeyResult struct {
	Status   int    // 0: it was not sent, or nothing is known of its end
	Refused  bool   // no process listens at the host's address
	Handover string // of a release
}

// keyLease is what the host here holds.
type keyLease struct {
	carrier string // its service
	station string // the life of the host that it was granted to

	table   *sharding.Table            // in force when the question was asked
	askedAt float64                    // when that was
	mine    []sharding.Range           // by that table
	until   map[sharding.Range]float64 // what the host holds, and until when requests may begin on it
	granted map[sharding.Range]float64 // by the question of which time that was granted last
	grants  map[uint64]sharding.Range  // calls under way
	batchAt float64                    // the question that they rest on

	question  leaseQuestion
	askAt     float64 // when the next is due
	notBefore float64 // nothing is asked before then: nobody could say
	server    int     // who is asked, by the order of the service's

	epoch      uint64 // what was lost with it is being released, or has been
	toRelease  []sharding.Range
	releaseAll bool                      // one call releases everything
	releases   map[uint64]sharding.Range // calls under way
	releaseAt  float64
	released   uint64 // all that was lost with this epoch, and those before, has been released
	toldOf     uint64 // of which the control plane knows
	handovers  []*meshpb.Handover

	replaced leaseQuestion // about a service whose host was here before
}

// leaseQuestion is a question to a control process; without an id none is open.
type leaseQuestion struct {
	id uint64
	to string
	at float64
}

func (k *keyLease) init(carrier string) {
	*k = keyLease{carrier: carrier, until: map[sharding.Range]float64{}, granted: map[sharding.Range]float64{},
		grants: map[uint64]sharding.Range{}, releases: map[uint64]sharding.Range{}}
}

// holdsKey says whether the host may begin a request now, by its key. Where keys are not held that is no question.
func (g *admission) holdsKey(c *meshpb.Forward) bool {
	p := g.p
	if !p.sharded(p.discovery.own.Carrier) {
		return true
	}
	key := keyOf(c.Fields)
	return key != noKey && p.now < p.lease.until[sharding.RangeOf(key)]
}

// tickLease asks, releases and grants what is due.
func (p *Sidecar) tickLease() {
	k, own := &p.lease, p.discovery.own
	if own.Carrier != k.carrier {
		k.init(own.Carrier)
	}
	if own.Station != k.station { // another life of the host holds nothing
		k.station, k.askAt = own.Station, 0
		clear(k.until)
		clear(k.granted)
		clear(k.grants) // what was sent to the one before counts for nothing
	}
	p.tellReplaced()
	if !p.sharded(k.carrier) {
		return
	}
	p.giveUpLost()
	p.askLease()
	p.release()
	p.grant()
}

// giveUpLost ends the leases of what the newest epoch gives to others.
func (p *Sidecar) giveUpLost() {
	k, table := &p.lease, p.shards.tables[p.lease.carrier]
	if table == nil || table.Epoch <= k.epoch {
		return
	}
	k.epoch = table.Epoch
	k.toRelease, k.handovers = table.Lost(p.o.Self), nil
	k.releaseAll = len(table.Held(p.o.Self)) == 0
	clear(k.releases)
	for _, r := range k.toRelease {
		delete(k.until, r)
		delete(k.granted, r)
	}
	if len(k.toRelease) == 0 {
		k.released, k.toldOf = k.epoch, k.epoch
	}
}

// askLease asks which assignment is in force, where that is due, and tells what has been released.
func (p *Sidecar) askLease() {
	k, newest := &p.lease, p.shards.tables[p.lease.carrier]
	if k.question.id != 0 {
		if p.now < k.question.at+leaseAgain {
			return
		}
		k.server++
	}
	newer := newest != nil && (k.table == nil || newest.Version > k.table.Version)
	tells := k.released == k.epoch && k.toldOf < k.released
	due := p.now >= k.askAt || k.question.id != 0 || newer || tells
	if !due || p.now < k.notBefore {
		return
	}
	ask := &meshpb.LeaseRequest{Carrier: k.carrier}
	if tells {
		ask.Released, ask.Handovers = k.released, k.handovers
	}
	k.question = p.askControl(ask, k.server)
}

// askControl puts a question about a service to a control process: the one that changes its assignment, or one of those after it.
func (p *Sidecar) askControl(ask *meshpb.LeaseRequest, nth int) leaseQuestion {
	if len(p.discovery.servers) == 0 {
		return leaseQuestion{}
	}
	order := rendezvous.Order(sharding.RegisterName(ask.Carrier), p.discovery.servers)
	q := leaseQuestion{p.id(), order[nth%len(order)], p.now}
	p.send(q.to, p.question(q.id, &meshpb.Message{LeaseRequest: ask}))
	return q
}

// tellReplaced tells that the host which held keys of another service, on this machine, is no more: another service's host is here.
func (p *Sidecar) tellReplaced() {
	k, own := &p.lease, p.discovery.own
	if own.Station == "" || p.now < k.replaced.at+leaseAgain {
		return
	}
	for _, carrier := range slices.Sorted(maps.Keys(p.shards.tables)) {
		table := p.shards.tables[carrier]
		held := carrier != own.Carrier && slices.Contains(table.Previous, p.o.Self)
		if held && slices.Contains(table.Waiting(), p.o.Self) {
			k.replaced = p.askControl(&meshpb.LeaseRequest{Carrier: carrier, Released: table.Epoch}, 0)
			return
		}
	}
}

// leased takes the answer to a question.
func (p *Sidecar) leased(from string, m *meshpb.Message) {
	k := &p.lease
	q, asked := k.question, ""
	if m.Id == k.replaced.id {
		q = k.replaced
	}
	if q.id != 0 && q.id == m.Id {
		asked = q.to
	}
	if !p.accepts(from, m, asked) {
		return
	}
	a := m.Lease.Assignment
	if a != nil && p.shards.learn([]*meshpb.Assignment{a}) {
		p.discovery.list()
	}
	if q.id != k.question.id {
		return
	}
	k.question = leaseQuestion{}
	if a == nil || a.Carrier != k.carrier { // it cannot say
		k.server++
		k.notBefore = p.now + leaseAgain
		return
	}
	k.askAt = q.at + sharding.RenewEvery
	if slices.Contains(a.Cleared, p.o.Self) {
		k.toldOf = max(k.toldOf, a.Epoch)
	}
	p.confirmed(q.at)
	p.giveUpLost()
	p.grant()
}

// confirmed notes that the newest assignment known was in force after a time.
func (p *Sidecar) confirmed(at float64) {
	k, table := &p.lease, p.shards.tables[p.lease.carrier]
	if table == nil {
		return
	}
	if k.table != table {
		k.table, k.mine = table, table.Held(p.o.Self)
	}
	k.askedAt = at
}

// release has the host release what it has lost.
func (p *Sidecar) release() {
	k := &p.lease
	if len(k.toRelease) == 0 || len(k.releases) > 0 || p.now < k.releaseAt {
		return
	}
	k.releaseAt = p.now + releaseAgain
	if k.releaseAll {
		id := p.id()
		k.releases[id] = k.toRelease[0]
		p.out.Commands = append(p.out.Commands, KeyCalls{Calls: []KeyCall{{ID: id, LastKey: sharding.Keys - 1, Fence: k.epoch, Release: true}}})
		return
	}
	for _, r := range k.toRelease { // each waits for what runs on its keys
		id := p.id()
		k.releases[id] = r
		p.out.Commands = append(p.out.Commands, KeyCalls{Calls: []KeyCall{{ID: id, FirstKey: r.First(), LastKey: r.Last(), Fence: k.epoch, Release: true}}})
	}
}

// grant grants the host what is its own by the newest answer, and what it holds anew.
func (p *Sidecar) grant() {
	k, own := &p.lease, p.discovery.own
	before := k.askedAt + sharding.GrantWithin
	if k.table == nil || len(k.grants) > 0 || p.now >= before || own.Condition != Serving || own.Station == "" ||
		k.table.Epoch < k.epoch {
		return
	}
	var calls []KeyCall
	for _, r := range k.mine {
		if at, known := k.granted[r]; known && at >= k.askedAt || !k.table.Free(r) {
			continue
		}
		call := KeyCall{ID: p.id(), FirstKey: r.First(), LastKey: r.Last(), Fence: k.table.Epoch,
			HoldMs: int(sharding.Hold(p.o.MaxKeyHold) * msPerSecond)}
		if k.table.Before(r) != p.o.Self {
			call.Handover = k.table.Handover(r)
		}
		k.grants[call.ID] = r
		if calls = append(calls, call); len(calls) == grantsAtOnce {
			break
		}
	}
	if len(calls) > 0 {
		k.batchAt = k.askedAt
		p.out.Commands = append(p.out.Commands, KeyCalls{Calls: calls, GrantBefore: before})
	}
}

// KeyCalled takes the end of a call at the host.
func (p *Sidecar) KeyCallDone(now float64, id uint64, result KeyResult) {
	p.input(now)
	k := &p.lease
	if r, granting := k.grants[id]; granting {
		delete(k.grants, id)
		p.grantEnded(r, result)
	}
	if r, releasing := k.releases[id]; releasing {
		delete(k.releases, id)
		p.releaseEnded(r, result)
	}
	p.grant()
	p.settle()
}

// grantEnded notes that the host holds a range, unless the range was lost meanwhile.
func (p *Sidecar) grantEnded(r sharding.Range, result KeyResult) {
	k := &p.lease
	k.granted[r] = k.batchAt // where it failed, the next answer is granted on
	p.count.Grants++
	if result.Status != statusGranted || k.station != p.discovery.own.Station || k.table.Epoch < k.epoch || k.table.Holder(r) != p.o.Self {
		p.count.GrantsRefused++
		if result.Refused {
			p.hostLost()
		}
		return
	}
	k.until[r] = k.batchAt + sharding.HeldFor(p.o.MaxKeyHold)
}

// hostLost notes that no process listens at the host's address: its keys are to go to others, who cannot serve them before. A further
// beat of the same life proves it wrong.
func (p *Sidecar) hostLost() {
	if p.discovery.own.Condition == Serving {
		p.o.Log("host lost", "station", p.discovery.own.Station, "why", "nobody listens at its address")
		p.discovery.change(func(r *meshpb.Record) { r.Condition = Gone })
	}
}

// hostRefused has the host asked for at once, where it holds keys: a request to it found no process, or none in time.
func (k *keyLease) hostRefused() {
	if len(k.mine) > 0 {
		k.askAt = 0
	}
}

// releaseEnded notes that the host has released a range, or everything. No process that listens, with nothing of this proxy's under
// way, begins nothing.
func (p *Sidecar) releaseEnded(r sharding.Range, result KeyResult) {
	k := &p.lease
	if result.Status != statusGranted && !(result.Refused && p.admission.running == 0) {
		return
	}
	if k.releaseAll {
		for _, lost := range k.toRelease {
			k.handOver(lost, result.Handover)
		}
		k.toRelease = nil
	} else {
		k.handOver(r, result.Handover)
		k.toRelease = without(k.toRelease, r)
	}
	if len(k.toRelease) == 0 {
		k.released = k.epoch
	}
}

func (k *keyLease) handOver(r sharding.Range, token string) {
	if token != "" {
		k.handovers = append(k.handovers, &meshpb.Handover{Range: uint32(r), Token: token})
	}
}

func without(ranges []sharding.Range, gone sharding.Range) (left []sharding.Range) {
	for _, r := range ranges {
		if r != gone {
			left = append(left, r)
		}
	}
	return left
}

// KeyState is what an operator sees of the keys that the host here holds.
type KeyState struct {
	Service          string  `json:"carrier"`
	Epoch            uint64  `json:"epoch"`     // the fence
	Ranges           int     `json:"ranges"`    // that are its own
	Held             int     `json:"held"`      // of these, on how many requests may begin now
	LeaseLeftSeconds float64 `json:"leftS"`     // seconds until the first of them runs out, if nothing is renewed
	Releasing        int     `json:"releasing"` // that it has lost and not released yet
}

// keyState is what is known of the keys here; nil: there are none.
func (p *Sidecar) keyState() *KeyState {
	k := &p.lease
	if k.table == nil {
		return nil
	}
	s := &KeyState{Service: k.carrier, Epoch: k.table.Epoch, Ranges: len(k.mine), Releasing: len(k.toRelease)}
	for _, until := range k.until {
		left := until - p.now
		if left <= 0 {
			continue
		}
		if s.Held == 0 || left < s.LeaseLeftSeconds {
			s.LeaseLeftSeconds = left
		}
		s.Held++
	}
	return s
}
