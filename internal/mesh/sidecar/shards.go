package sidecar

import (
	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sharding"
)

// A request to a sharded service goes to the one host that holds its shard key. The sender derives the holder from the
// newest assignment that it knows. The sidecar of that host decides whether the host really holds the key.

// HeaderShardKey is the header with the shard key of a request.
const HeaderShardKey = "Beechwing-Shard-Key"

const (
	holderRetryDelay       = 0.04 // seconds after which a request is sent to the holder again if the host did not hold the key yet
	holderRetryShare       = 0.25 // share of a request's target time that it may spend on such retries
	noHolderRetryAfter     = 0.15 // seconds after which a client is told to retry if nobody holds the key
	noKey                  = -1
	reasonKeyNotHeld       = "its key is not held here"
	keyNotHeldRetryAfterMs = 50 // milliseconds after which the sender may try again
	reasonNoHolder         = "nobody holds the keys of this service yet"
)

// shards holds the newest known assignment of each service.
type shards struct{ tables map[string]*sharding.Table }

// learn takes assignments and reports whether any is newer than the known one.
func (s *shards) learn(all []*meshpb.Assignment) (newer bool) {
	for _, a := range all {
		if known := s.tables[a.Carrier]; known != nil && known.Version >= a.Version {
			continue
		}
		s.tables[a.Carrier] = sharding.NewTable(a)
		newer = true
	}
	return newer
}

// version returns a number that grows with the version of each assignment.
func (s *shards) version() (sum uint64) {
	for _, t := range s.tables {
		sum += t.Version
	}
	return sum
}

// isSharded reports whether the hosts of a service hold shard keys.
func (p *Sidecar) isSharded(service string) bool {
	if p.table == nil {
		return false
	}
	s := p.table.Service(service)
	return s != nil && s.Sharded
}

// shardKeyOf returns the shard key in a request's header fields, or noKey if there is no valid one.
func shardKeyOf(fields []*meshpb.Field) int {
	for _, f := range fields {
		if f.Name == HeaderShardKey {
			if key, ok := sharding.ParseKey(f.Value); ok {
				return key
			}
		}
	}
	return noKey
}

// holderOf returns the host that holds a request's key, 0 if none is known.
func (p *Sidecar) holderOf(req *Request) balancer.HostID {
	table := p.shards.tables[req.service]
	if table == nil {
		return 0
	}
	record := p.discovery.records[table.Holder(sharding.RangeOf(req.shardKey))]
	if record == nil || record.Station == "" {
		return 0
	}
	return hostID(record.Station)
}

// submitToHolder passes a request to the balancer with the holder of its key as the only choice.
func (p *Sidecar) submitToHolder(req *Request) {
	req.holder = p.holderOf(req)
	if req.holder == 0 {
		p.reply(req, Reply{Status: 503, RetryAfter: noHolderRetryAfter, FromProxy: true, Reason: reasonNoHolder})
		p.forget(req)
		return
	}
	p.submitToBalancer(req)
}

// retriesAtHolder reports whether a refused request is passed to the holder of its key again, and schedules that
// retry. The holder may be about to change, and the request has run nowhere.
func (p *Sidecar) retriesAtHolder(req *Request) bool {
	if p.shutdown.stopped || req.holder == 0 || req.arrivals > 0 || req.lastResponse != nil || req.mayHoldClaim ||
		p.now+holderRetryDelay > req.receivedAt+holderRetryShare*req.class.target {
		return false
	}
	p.schedule(p.now+holderRetryDelay, func() { p.resubmit(req) })
	return true
}

// resubmit passes a request to the balancer again. The request gets a new ID, as the balancer has refused the old one.
func (p *Sidecar) resubmit(req *Request) {
	if req.answered || p.requests[req.id] != req {
		return
	}
	delete(p.requests, req.id)
	req.id, req.attempts = p.nextID(), nil
	p.requests[req.id] = req
	p.submitToHolder(req)
}
