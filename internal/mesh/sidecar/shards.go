package sidecar

import (
	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sharding"
)

// A request to a sharded service goes to the host that holds its key: the pick is among one. Which that is follows from the newest
// assignment known here; the proxy beside the host has the last word.

// HeaderShardKey is the header with a request's key.
const HeaderShardKey = "Beechwing-Shard-Key"

const (
	holderRetryDelay       = 0.04 // seconds after which a request is sent to its key's holder once more, where that did not hold the key yet
	holderRetryShare       = 0.25 // of a request's aim that it may wait so
	noHolderRetryAfter     = 0.15 // seconds after which a client whose key nobody holds is to come back
	noKey                  = -1
	reasonKeyNotHeld       = "its key is not held here"
	keyNotHeldRetryAfterMs = 50 // when who sent it may come again
	reasonNoHolder         = "nobody holds the keys of this service yet"
)

// shards are the assignments known here, by service.
type shards struct{ tables map[string]*sharding.Table }

// learn takes assignments, and says whether any is newer than what is known.
func (s *shards) learn(all []*meshpb.Assignment) (newer bool) {
	for _, a := range all {
		if known := s.tables[a.Carrier]; known != nil && known.Version >= a.Version {
			continue
		}
		s.tables[a.Carrier] = sharding.Compile(a)
		newer = true
	}
	return newer
}

// version grows with each assignment's.
func (s *shards) version() (sum uint64) {
	for _, t := range s.tables {
		sum += t.Version
	}
	return sum
}

// sharded says whether hosts of a service hold keys.
func (p *Sidecar) isSharded(service string) bool {
	if p.table == nil {
		return false
	}
	s := p.table.Service(service)
	return s != nil && s.Sharded
}

// keyOf is the key among a request's fields; noKey: it has none that counts.
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

// holderOf is the host that holds a request's key; 0: nobody is known to.
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

// askHolder sends a request to the host that holds its key.
func (p *Sidecar) submitToHolder(req *Request) {
	req.holder = p.holderOf(req)
	if req.holder == 0 {
		p.reply(req, Reply{Status: 503, RetryAfter: noHolderRetryAfter, FromProxy: true, Reason: reasonNoHolder})
		p.forget(req)
		return
	}
	p.submitToBalancer(req)
}

// waitsForHolder says whether a request that was refused goes to its key's holder once more: the holder may be about to change. It
// has run nowhere.
func (p *Sidecar) retriesAtHolder(req *Request) bool {
	if req.holder == 0 || req.arrivals > 0 || req.lastResponse != nil || req.mayHoldClaim || p.now+holderRetryDelay > req.receivedAt+holderRetryShare*req.class.target {
		return false
	}
	p.schedule(p.now+holderRetryDelay, func() { p.resubmit(req) })
	return true
}

// askAgain puts a request to the module anew: as another one, as that has refused it.
func (p *Sidecar) resubmit(req *Request) {
	if req.answered || p.requests[req.id] != req {
		return
	}
	delete(p.requests, req.id)
	req.id, req.attempts = p.nextID(), nil
	p.requests[req.id] = req
	p.submitToHolder(req)
}
