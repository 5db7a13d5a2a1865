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
	leaseRetryDelay   = 0.3  // seconds without an answer until another control process is asked
	releaseRetryDelay = 0.15 // seconds until a release that failed is tried again
	maxGrantBatch     = 16   // calls in one go
	msPerSecond       = 1000
	statusOK          = 200
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
	service      string // its service
	hostInstance string // the life of the host that it was granted to

	table         *sharding.Table            // in force when the question was asked
	tableAskedAt  float64                    // when that was
	ownRanges     []sharding.Range           // by that table
	heldUntil     map[sharding.Range]float64 // what the host holds, and until when requests may begin on it
	grantedAt     map[sharding.Range]float64 // by the question of which time that was granted last
	pendingGrants map[uint64]sharding.Range  // calls under way
	grantsAskedAt float64                    // the question that they rest on

	request          leaseRPC
	nextRequestAt    float64 // when the next is due
	requestNotBefore float64 // nothing is asked before then: nobody could say
	serverIndex      int     // who is asked, by the order of the service's

	releaseEpoch    uint64 // what was lost with it is being released, or has been
	toRelease       []sharding.Range
	releaseAll      bool                      // one call releases everything
	pendingReleases map[uint64]sharding.Range // calls under way
	nextReleaseAt   float64
	releasedEpoch   uint64 // all that was lost with this epoch, and those before, has been released
	reportedEpoch   uint64 // of which the control plane knows
	handovers       []*meshpb.Handover

	replacedHost leaseRPC // about a service whose host was here before
}

// leaseQuestion is a question to a control process; without an id none is open.
type leaseRPC struct {
	id     uint64
	to     string
	sentAt float64
}

func (lease *keyLease) init(service string) {
	*lease = keyLease{service: service, heldUntil: map[sharding.Range]float64{}, grantedAt: map[sharding.Range]float64{},
		pendingGrants: map[uint64]sharding.Range{}, pendingReleases: map[uint64]sharding.Range{}}
}

// holdsKey says whether the host may begin a request now, by its key. Where keys are not held that is no question.
func (adm *admission) holdsKey(forward *meshpb.Forward) bool {
	p := adm.sidecar
	if !p.isSharded(p.discovery.own.Carrier) {
		return true
	}
	key := shardKeyOf(forward.Fields)
	return key != noKey && p.now < p.lease.heldUntil[sharding.RangeOf(key)]
}

// tickLease asks, releases and grants what is due.
func (p *Sidecar) tickLease() {
	lease, own := &p.lease, p.discovery.own
	if own.Carrier != lease.service {
		lease.init(own.Carrier)
	}
	if own.Station != lease.hostInstance { // another life of the host holds nothing
		lease.hostInstance, lease.nextRequestAt = own.Station, 0
		clear(lease.heldUntil)
		clear(lease.grantedAt)
		clear(lease.pendingGrants) // what was sent to the one before counts for nothing
	}
	p.reportReplacedHost()
	if !p.isSharded(lease.service) {
		return
	}
	p.dropLostRanges()
	p.requestLease()
	p.releaseRanges()
	p.grantRanges()
}

// giveUpLost ends the leases of what the newest epoch gives to others.
func (p *Sidecar) dropLostRanges() {
	lease, table := &p.lease, p.shards.tables[p.lease.service]
	if table == nil || table.Epoch <= lease.releaseEpoch {
		return
	}
	lease.releaseEpoch = table.Epoch
	lease.toRelease, lease.handovers = table.Lost(p.opts.Self), nil
	lease.releaseAll = len(table.Held(p.opts.Self)) == 0
	clear(lease.pendingReleases)
	for _, r := range lease.toRelease {
		delete(lease.heldUntil, r)
		delete(lease.grantedAt, r)
	}
	if len(lease.toRelease) == 0 {
		lease.releasedEpoch, lease.reportedEpoch = lease.releaseEpoch, lease.releaseEpoch
	}
}

// askLease asks which assignment is in force, where that is due, and tells what has been released.
func (p *Sidecar) requestLease() {
	lease, newest := &p.lease, p.shards.tables[p.lease.service]
	if lease.request.id != 0 {
		if p.now < lease.request.sentAt+leaseRetryDelay {
			return
		}
		lease.serverIndex++
	}
	newer := newest != nil && (lease.table == nil || newest.Version > lease.table.Version)
	tells := lease.releasedEpoch == lease.releaseEpoch && lease.reportedEpoch < lease.releasedEpoch
	due := p.now >= lease.nextRequestAt || lease.request.id != 0 || newer || tells
	if !due || p.now < lease.requestNotBefore {
		return
	}
	ask := &meshpb.LeaseRequest{Carrier: lease.service}
	if tells {
		ask.Released, ask.Handovers = lease.releasedEpoch, lease.handovers
	}
	lease.request = p.sendLeaseRequest(ask, lease.serverIndex)
}

// askControl puts a question about a service to a control process: the one that changes its assignment, or one of those after it.
func (p *Sidecar) sendLeaseRequest(ask *meshpb.LeaseRequest, nth int) leaseRPC {
	if len(p.discovery.servers) == 0 {
		return leaseRPC{}
	}
	order := rendezvous.Order(sharding.RegisterName(ask.Carrier), p.discovery.servers)
	rpc := leaseRPC{p.nextID(), order[nth%len(order)], p.now}
	p.send(rpc.to, p.newRPC(rpc.id, &meshpb.Message{LeaseRequest: ask}))
	return rpc
}

// tellReplaced tells that the host which held keys of another service, on this machine, is no more: another service's host is here.
func (p *Sidecar) reportReplacedHost() {
	lease, own := &p.lease, p.discovery.own
	if own.Station == "" || p.now < lease.replacedHost.sentAt+leaseRetryDelay {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(p.shards.tables)) {
		table := p.shards.tables[service]
		held := service != own.Carrier && slices.Contains(table.Previous, p.opts.Self)
		if held && slices.Contains(table.Waiting(), p.opts.Self) {
			lease.replacedHost = p.sendLeaseRequest(&meshpb.LeaseRequest{Carrier: service, Released: table.Epoch}, 0)
			return
		}
	}
}

// leased takes the answer to a question.
func (p *Sidecar) receiveLease(from string, m *meshpb.Message) {
	lease := &p.lease
	rpc, asked := lease.request, ""
	if m.Id == lease.replacedHost.id {
		rpc = lease.replacedHost
	}
	if rpc.id != 0 && rpc.id == m.Id {
		asked = rpc.to
	}
	if !p.acceptsResponse(from, m, asked) {
		return
	}
	a := m.Lease.Assignment
	if a != nil && p.shards.learn([]*meshpb.Assignment{a}) {
		p.discovery.updateBalancers()
	}
	if rpc.id != lease.request.id {
		return
	}
	lease.request = leaseRPC{}
	if a == nil || a.Carrier != lease.service { // it cannot say
		lease.serverIndex++
		lease.requestNotBefore = p.now + leaseRetryDelay
		return
	}
	lease.nextRequestAt = rpc.sentAt + sharding.RenewEvery
	if slices.Contains(a.Cleared, p.opts.Self) {
		lease.reportedEpoch = max(lease.reportedEpoch, a.Epoch)
	}
	p.confirmTable(rpc.sentAt)
	p.dropLostRanges()
	p.grantRanges()
}

// confirmed notes that the newest assignment known was in force after a time.
func (p *Sidecar) confirmTable(at float64) {
	lease, table := &p.lease, p.shards.tables[p.lease.service]
	if table == nil {
		return
	}
	if lease.table != table {
		lease.table, lease.ownRanges = table, table.Held(p.opts.Self)
	}
	lease.tableAskedAt = at
}

// release has the host release what it has lost.
func (p *Sidecar) releaseRanges() {
	lease := &p.lease
	if len(lease.toRelease) == 0 || len(lease.pendingReleases) > 0 || p.now < lease.nextReleaseAt {
		return
	}
	lease.nextReleaseAt = p.now + releaseRetryDelay
	if lease.releaseAll {
		id := p.nextID()
		lease.pendingReleases[id] = lease.toRelease[0]
		p.output.Commands = append(p.output.Commands, KeyCalls{Calls: []KeyCall{{ID: id, LastKey: sharding.Keys - 1, Fence: lease.releaseEpoch, Release: true}}})
		return
	}
	for _, r := range lease.toRelease { // each waits for what runs on its keys
		id := p.nextID()
		lease.pendingReleases[id] = r
		p.output.Commands = append(p.output.Commands, KeyCalls{Calls: []KeyCall{{ID: id, FirstKey: r.First(), LastKey: r.Last(), Fence: lease.releaseEpoch, Release: true}}})
	}
}

// grant grants the host what is its own by the newest answer, and what it holds anew.
func (p *Sidecar) grantRanges() {
	lease, own := &p.lease, p.discovery.own
	before := lease.tableAskedAt + sharding.GrantWithin
	if lease.table == nil || len(lease.pendingGrants) > 0 || p.now >= before || own.Condition != Serving || own.Station == "" ||
		lease.table.Epoch < lease.releaseEpoch {
		return
	}
	var calls []KeyCall
	for _, r := range lease.ownRanges {
		if at, known := lease.grantedAt[r]; known && at >= lease.tableAskedAt || !lease.table.Free(r) {
			continue
		}
		call := KeyCall{ID: p.nextID(), FirstKey: r.First(), LastKey: r.Last(), Fence: lease.table.Epoch,
			HoldMs: int(sharding.Hold(p.opts.MaxKeyHold) * msPerSecond)}
		if lease.table.Before(r) != p.opts.Self {
			call.Handover = lease.table.Handover(r)
		}
		lease.pendingGrants[call.ID] = r
		if calls = append(calls, call); len(calls) == maxGrantBatch {
			break
		}
	}
	if len(calls) > 0 {
		lease.grantsAskedAt = lease.tableAskedAt
		p.output.Commands = append(p.output.Commands, KeyCalls{Calls: calls, GrantBefore: before})
	}
}

// KeyCalled takes the end of a call at the host.
func (p *Sidecar) KeyCallDone(now float64, id uint64, result KeyResult) {
	p.beginInput(now)
	lease := &p.lease
	if r, granting := lease.pendingGrants[id]; granting {
		delete(lease.pendingGrants, id)
		p.grantDone(r, result)
	}
	if r, releasing := lease.pendingReleases[id]; releasing {
		delete(lease.pendingReleases, id)
		p.releaseDone(r, result)
	}
	p.grantRanges()
	p.runPending()
}

// grantEnded notes that the host holds a range, unless the range was lost meanwhile.
func (p *Sidecar) grantDone(r sharding.Range, result KeyResult) {
	lease := &p.lease
	lease.grantedAt[r] = lease.grantsAskedAt // where it failed, the next answer is granted on
	p.counts.Grants++
	if result.Status != statusOK || lease.hostInstance != p.discovery.own.Station || lease.table.Epoch < lease.releaseEpoch || lease.table.Holder(r) != p.opts.Self {
		p.counts.GrantsRefused++
		if result.Refused {
			p.markHostLost()
		}
		return
	}
	lease.heldUntil[r] = lease.grantsAskedAt + sharding.HeldFor(p.opts.MaxKeyHold)
}

// hostLost notes that no process listens at the host's address: its keys are to go to others, who cannot serve them before. A further
// beat of the same life proves it wrong.
func (p *Sidecar) markHostLost() {
	if p.discovery.own.Condition == Serving {
		p.opts.Log("host lost", "station", p.discovery.own.Station, "why", "nobody listens at its address")
		p.discovery.updateOwn(func(record *meshpb.Record) { record.Condition = Gone })
	}
}

// hostRefused has the host asked for at once, where it holds keys: a request to it found no process, or none in time.
func (lease *keyLease) recheckHost() {
	if len(lease.ownRanges) > 0 {
		lease.nextRequestAt = 0
	}
}

// releaseEnded notes that the host has released a range, or everything. No process that listens, with nothing of this proxy's under
// way, begins nothing.
func (p *Sidecar) releaseDone(r sharding.Range, result KeyResult) {
	lease := &p.lease
	if result.Status != statusOK && !(result.Refused && p.admission.slotsInUse == 0) {
		return
	}
	if lease.releaseAll {
		for _, lost := range lease.toRelease {
			lease.addHandover(lost, result.Handover)
		}
		lease.toRelease = nil
	} else {
		lease.addHandover(r, result.Handover)
		lease.toRelease = without(lease.toRelease, r)
	}
	if len(lease.toRelease) == 0 {
		lease.releasedEpoch = lease.releaseEpoch
	}
}

func (lease *keyLease) addHandover(r sharding.Range, token string) {
	if token != "" {
		lease.handovers = append(lease.handovers, &meshpb.Handover{Range: uint32(r), Token: token})
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
	lease := &p.lease
	if lease.table == nil {
		return nil
	}
	s := &KeyState{Service: lease.service, Epoch: lease.table.Epoch, Ranges: len(lease.ownRanges), Releasing: len(lease.toRelease)}
	for _, until := range lease.heldUntil {
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
