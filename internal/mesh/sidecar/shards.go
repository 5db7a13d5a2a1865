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
	keyRetry      = 0.04 // seconds after which a request is sent to its key's holder once more, where that did not hold the key yet
	keyPart       = 0.25 // of a request's aim that it may wait so
	keyBack       = 0.15 // seconds after which a client whose key nobody holds is to come back
	noKey         = -1
	whyNotHeld    = "its key is not held here"
	notHeldBackMs = 50 // when who sent it may come again
	whyNoTable    = "nobody holds the keys of this service yet"
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
func (p *Sidecar) sharded(carrier string) bool {
	if p.table == nil {
		return false
	}
	s := p.table.Service(carrier)
	return s != nil && s.Sharded
}

// keyOf is the key among a request's fields; noKey: it has none that counts.
func keyOf(fields []*meshpb.Field) int {
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
func (p *Sidecar) holderOf(o *Request) balancer.HostID {
	table := p.shards.tables[o.service]
	if table == nil {
		return 0
	}
	r := p.discovery.records[table.Holder(sharding.RangeOf(o.shardKey))]
	if r == nil || r.Station == "" {
		return 0
	}
	return hostID(r.Station)
}

// askHolder sends a request to the host that holds its key.
func (p *Sidecar) askHolder(o *Request) {
	o.holder = p.holderOf(o)
	if o.holder == 0 {
		p.tell(o, Reply{Status: 503, RetryAfter: keyBack, FromProxy: true, Reason: whyNoTable})
		p.forget(o)
		return
	}
	p.request(o)
}

// waitsForHolder says whether a request that was refused goes to its key's holder once more: the holder may be about to change. It
// has run nowhere.
func (p *Sidecar) waitsForHolder(o *Request) bool {
	if o.holder == 0 || o.arrivals > 0 || o.last != nil || o.claims || p.now+keyRetry > o.taken+keyPart*o.class.aim {
		return false
	}
	p.at(p.now+keyRetry, func() { p.askAgain(o) })
	return true
}

// askAgain puts a request to the module anew: as another one, as that has refused it.
func (p *Sidecar) askAgain(o *Request) {
	if o.told || p.orders[o.id] != o {
		return
	}
	delete(p.orders, o.id)
	o.id, o.tries = p.id(), nil
	p.orders[o.id] = o
	p.askHolder(o)
}
