package sidecar

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/rendezvous"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sharding"
)

// A sharded service assigns each shard key to one host. This file grants the host here the key ranges that it is
// assigned. All requests to the host pass this sidecar, so the sidecar can guarantee that the host begins nothing on a
// key without a lease. A lease rests on an answer of the control plane that tells which assignment is in force, and its
// time counts from when the request for that answer was sent. Ranges that the host loses are released at once, and the
// control plane is told when that is done. Until then, or until all leases have expired, the new holder gets nothing.

const (
	leaseRetryDelay   = 0.3  // seconds without an answer until another control server is asked; doubles with each retry
	maxLeaseDoublings = 2    // number of times that the delay doubles
	maxLeaseRequests  = 4    // outstanding requests whose answers are accepted
	releaseRetryDelay = 0.15 // seconds until a failed release is tried again
	maxGrantBatch     = 16   // grant calls in one command
	msPerSecond       = 1000
	statusOK          = 200
)

// KeyCalls orders the program to make calls to the host, one after the other. The end of each is reported by
// KeyCallDone.
type KeyCalls struct {
	Calls       []KeyCall
	GrantBefore float64 // grants are not sent after this time
}

func (KeyCalls) command() {}

// KeyCall grants a range of shard keys to the host, or releases one.
type KeyCall struct {
	ID                uint64
	FirstKey, LastKey int    // bounds of the range, both included
	Fence             uint64 // fencing token: the epoch of the assignment
	Release           bool
	HoldMs            int    // of a grant
	Handover          string // of a grant: the token with which the former holder released the range; may be empty
}

// KeyResult is the result of a KeyCall.
type KeyResult struct {
	Status   int    // HTTP status; 0: the call was not sent, or its outcome is unknown
	Refused  bool   // no process listens at the host's address
	Handover string // of a release: the token for the next holder
}

// keyLease is the state of the host's leases of shard keys.
type keyLease struct {
	service      string // the service of the host
	hostInstance string // the host instance to which the ranges were granted

	table         *sharding.Table            // the newest assignment that was confirmed to be in force
	tableAskedAt  float64                    // when the request was sent whose answer confirmed it
	ownRanges     []sharding.Range           // assigned to the host by the field table
	heldUntil     map[sharding.Range]float64 // by range that the host holds: until when requests may begin on it
	grantedAt     map[sharding.Range]float64 // by range: the tableAskedAt on which its last grant was based
	pendingGrants map[uint64]sharding.Range  // calls in progress, by ID
	grantsAskedAt float64                    // the tableAskedAt on which the pendingGrants are based

	requests         []leaseRPC // outstanding, in the order sent; where all servers are slow, the answer to an earlier one counts
	unanswered       int        // requests sent since the last answer
	nextRequestAt    float64    // when the next request is due
	requestNotBefore float64    // no request is sent before this time, as no server could answer
	serverIndex      int        // of the next control server, in the service's order of servers

	releaseEpoch    uint64 // the epoch whose lost ranges are being released, or have been
	toRelease       []sharding.Range
	releaseAll      bool                      // one call releases everything
	pendingReleases map[uint64]sharding.Range // calls in progress, by ID
	nextReleaseAt   float64
	releasedEpoch   uint64 // all ranges lost in this epoch and the ones before have been released
	reportedEpoch   uint64 // the newest releasedEpoch that the control plane has acknowledged
	handovers       []*meshpb.Handover

	replacedHost leaseRPC // reports the end of a former host of another service on this machine
}

// leaseRPC is a lease request to a control server. Its id is 0 if none is outstanding.
type leaseRPC struct {
	id     uint64
	to     string
	sentAt float64
}

func (lease *keyLease) init(service string) {
	*lease = keyLease{service: service, heldUntil: map[sharding.Range]float64{}, grantedAt: map[sharding.Range]float64{},
		pendingGrants: map[uint64]sharding.Range{}, pendingReleases: map[uint64]sharding.Range{}}
}

// holdsKey reports whether the host may begin a request now by the request's shard key. For a service that is not
// sharded it is always true.
func (adm *admission) holdsKey(forward *meshpb.Forward) bool {
	p := adm.sidecar
	if !p.isSharded(p.discovery.own.Carrier) {
		return true
	}
	key := shardKeyOf(forward.Fields)
	return key != noKey && p.now < p.lease.heldUntil[sharding.RangeOf(key)]
}

// tickLease sends the lease requests, releases and grants that are due.
func (p *Sidecar) tickLease() {
	lease, own := &p.lease, p.discovery.own
	if own.Carrier != lease.service {
		lease.init(own.Carrier)
	}
	if own.Station != lease.hostInstance { // a new host instance holds nothing
		lease.hostInstance, lease.nextRequestAt = own.Station, 0
		clear(lease.heldUntil)
		clear(lease.grantedAt)
		clear(lease.pendingGrants) // calls to the former instance do not count
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

// dropLostRanges ends the leases of the ranges that the newest epoch gives to other hosts.
func (p *Sidecar) dropLostRanges() {
	lease, table := &p.lease, p.shards.tables[p.lease.service]
	if table == nil || table.Epoch <= lease.releaseEpoch {
		return
	}
	lease.releaseEpoch = table.Epoch
	lease.toRelease, lease.handovers = table.LostBy(p.opts.Self), nil
	lease.releaseAll = len(table.HeldBy(p.opts.Self)) == 0
	clear(lease.pendingReleases)
	for _, r := range lease.toRelease {
		delete(lease.heldUntil, r)
		delete(lease.grantedAt, r)
	}
	if len(lease.toRelease) == 0 {
		lease.releasedEpoch, lease.reportedEpoch = lease.releaseEpoch, lease.releaseEpoch
	}
}

// requestLease asks which assignment is in force when that is due, and reports finished releases.
func (p *Sidecar) requestLease() {
	lease, newest := &p.lease, p.shards.tables[p.lease.service]
	if lease.unanswered > 0 {
		if p.now < lease.retryAt() {
			return
		}
		lease.serverIndex++
	}
	newer := newest != nil && (lease.table == nil || newest.Version > lease.table.Version)
	reports := lease.releasedEpoch == lease.releaseEpoch && lease.reportedEpoch < lease.releasedEpoch
	due := p.now >= lease.nextRequestAt || lease.unanswered > 0 || newer || reports
	if !due || p.now < lease.requestNotBefore {
		return
	}
	request := &meshpb.LeaseRequest{Carrier: lease.service}
	if reports {
		request.Released, request.Handovers = lease.releasedEpoch, lease.handovers
	}
	if rpc := p.sendLeaseRequest(request, lease.serverIndex); rpc.id != 0 {
		lease.requests = append(lease.requests[max(0, len(lease.requests)+1-maxLeaseRequests):], rpc)
		lease.unanswered++
	}
}

// retryAt returns when another control server is asked if none answers.
func (lease *keyLease) retryAt() float64 {
	newest := lease.requests[len(lease.requests)-1]
	return newest.sentAt + leaseRetryDelay*float64(uint(1)<<min(lease.unanswered-1, maxLeaseDoublings))
}

// finishRequest removes an answered request and the earlier ones, whose answers would tell less.
func (lease *keyLease) finishRequest(id uint64) (rpc leaseRPC, found bool) {
	at := slices.IndexFunc(lease.requests, func(rpc leaseRPC) bool { return rpc.id == id })
	if at < 0 {
		return leaseRPC{}, false
	}
	rpc, lease.requests, lease.unanswered = lease.requests[at], lease.requests[at+1:], 0
	return rpc, true
}

// requestTarget returns the control server to which an outstanding request was sent; empty if there is no such request.
func (lease *keyLease) requestTarget(id uint64) string {
	for _, rpc := range slices.Concat(lease.requests, []leaseRPC{lease.replacedHost}) {
		if rpc.id != 0 && rpc.id == id {
			return rpc.to
		}
	}
	return ""
}

// sendLeaseRequest sends a lease request to the nth control server in the service's order. The first one is the
// coordinator of the service's assignment.
func (p *Sidecar) sendLeaseRequest(request *meshpb.LeaseRequest, nth int) leaseRPC {
	if len(p.discovery.servers) == 0 {
		return leaseRPC{}
	}
	order := rendezvous.Order(sharding.RegisterName(request.Carrier), p.discovery.servers)
	rpc := leaseRPC{p.nextID(), order[nth%len(order)], p.now}
	p.send(rpc.to, p.newRPC(rpc.id, &meshpb.Message{LeaseRequest: request}))
	return rpc
}

// reportReplacedHost tells the control plane that a host of another service, which held keys on this machine, is gone
// because the present host has taken its place.
func (p *Sidecar) reportReplacedHost() {
	lease, own := &p.lease, p.discovery.own
	if own.Station == "" || p.now < lease.replacedHost.sentAt+leaseRetryDelay {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(p.shards.tables)) {
		table := p.shards.tables[service]
		held := service != own.Carrier && slices.Contains(table.Previous, p.opts.Self)
		if held && slices.Contains(table.AwaitedMembers(), p.opts.Self) {
			lease.replacedHost = p.sendLeaseRequest(&meshpb.LeaseRequest{Carrier: service, Released: table.Epoch}, 0)
			return
		}
	}
}

// receiveLease handles the answer to a lease request.
func (p *Sidecar) receiveLease(from string, m *meshpb.Message) {
	lease := &p.lease
	if !p.acceptsResponse(from, m, lease.requestTarget(m.Id)) {
		return
	}
	a := m.Lease.Assignment
	if a != nil && p.shards.learn([]*meshpb.Assignment{a}) {
		p.discovery.updateBalancers()
	}
	rpc, found := lease.finishRequest(m.Id)
	if !found { // the answer to the report of a replaced host
		return
	}
	if a == nil || a.Carrier != lease.service { // the server does not know the assignment
		lease.serverIndex++
		lease.requestNotBefore = p.now + leaseRetryDelay
		return
	}
	lease.nextRequestAt = rpc.sentAt + sharding.RenewIntervalSeconds
	if slices.Contains(a.Cleared, p.opts.Self) {
		lease.reportedEpoch = max(lease.reportedEpoch, a.Epoch)
	}
	p.confirmTable(rpc.sentAt)
	p.dropLostRanges()
	p.grantRanges()
}

// confirmTable records that the newest known assignment was in force at some moment after the time at, when the lease
// request was sent.
func (p *Sidecar) confirmTable(at float64) {
	lease, table := &p.lease, p.shards.tables[p.lease.service]
	if table == nil {
		return
	}
	if lease.table != table {
		lease.table, lease.ownRanges = table, table.HeldBy(p.opts.Self)
	}
	lease.tableAskedAt = at
}

// releaseRanges has the host release the ranges that it has lost.
func (p *Sidecar) releaseRanges() {
	lease := &p.lease
	if len(lease.toRelease) == 0 || len(lease.pendingReleases) > 0 || p.now < lease.nextReleaseAt {
		return
	}
	lease.nextReleaseAt = p.now + releaseRetryDelay
	if lease.releaseAll {
		id := p.nextID()
		lease.pendingReleases[id] = lease.toRelease[0]
		p.output.Commands = append(p.output.Commands,
			KeyCalls{Calls: []KeyCall{{ID: id, LastKey: sharding.Keys - 1, Fence: lease.releaseEpoch, Release: true}}})
		return
	}
	for _, r := range lease.toRelease { // one call each, as each waits for the requests that run on its keys
		id := p.nextID()
		lease.pendingReleases[id] = r
		p.output.Commands = append(p.output.Commands,
			KeyCalls{Calls: []KeyCall{{ID: id, FirstKey: r.First(), LastKey: r.Last(), Fence: lease.releaseEpoch, Release: true}}})
	}
}

// grantRanges grants the host its ranges by the newest answer, and renews those that it holds.
func (p *Sidecar) grantRanges() {
	lease, own := &p.lease, p.discovery.own
	before := lease.tableAskedAt + sharding.GrantMaxAgeSeconds
	if lease.table == nil || len(lease.pendingGrants) > 0 || p.now >= before || own.Condition != Serving || own.Station == "" ||
		lease.table.Epoch < lease.releaseEpoch {
		return
	}
	var calls []KeyCall
	for _, r := range lease.ownRanges {
		if at, known := lease.grantedAt[r]; known && at >= lease.tableAskedAt || !lease.table.Available(r) {
			continue
		}
		call := KeyCall{ID: p.nextID(), FirstKey: r.First(), LastKey: r.Last(), Fence: lease.table.Epoch,
			HoldMs: int(sharding.HoldSeconds(p.opts.MaxKeyHold) * msPerSecond)}
		if lease.table.PreviousHolder(r) != p.opts.Self {
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

// KeyCallDone handles the end of a call to the host.
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

// grantDone records that the host holds a range, unless the range was lost meanwhile.
func (p *Sidecar) grantDone(r sharding.Range, result KeyResult) {
	lease := &p.lease
	lease.grantedAt[r] = lease.grantsAskedAt // after a failure, the next answer leads to a new grant
	p.counts.Grants++
	if result.Status != statusOK || lease.hostInstance != p.discovery.own.Station ||
		lease.table.Epoch < lease.releaseEpoch || lease.table.Holder(r) != p.opts.Self {
		p.counts.GrantsRefused++
		if result.Refused {
			p.markHostLost()
		}
		return
	}
	lease.heldUntil[r] = lease.grantsAskedAt + sharding.UsableSeconds(p.opts.MaxKeyHold)
}

// markHostLost records that no process listens at the host's address. The host's keys have to go to other hosts, which
// cannot serve them until this host counts as gone. A further heartbeat of the same host instance brings the host back.
func (p *Sidecar) markHostLost() {
	if p.discovery.own.Condition == Serving {
		p.opts.Log("host lost", "station", p.discovery.own.Station, "why", "nobody listens at its address")
		p.discovery.updateOwn(func(record *meshpb.Record) { record.Condition = Gone })
	}
}

// recheckHost makes the next lease request, and so the next grant call to the host, due at once if the host holds keys.
// It is called when a request found no process at the host's address, or got no connection in time.
func (lease *keyLease) recheckHost() {
	if len(lease.ownRanges) > 0 {
		lease.nextRequestAt = 0
	}
}

// releaseDone records that the host has released a range, or everything. If no process listens and this sidecar has
// nothing in progress at the host, the host begins nothing, which counts as a release.
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

// KeyState is the state of the host's shard keys as the operators' API shows it.
type KeyState struct {
	Service          string  `json:"carrier"`
	Epoch            uint64  `json:"epoch"`     // the fencing token
	Ranges           int     `json:"ranges"`    // assigned to the host
	Held             int     `json:"held"`      // of these, on which requests may begin now
	LeaseLeftSeconds float64 `json:"leftS"`     // until the first lease expires, if none is renewed
	Releasing        int     `json:"releasing"` // lost and not released yet
}

// keyState returns the state of the shard keys here, nil while no assignment of the service was confirmed.
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
