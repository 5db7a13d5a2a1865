package sidecar

import "math"

const (
	seenFor       = 60.0    // seconds for which each request that came here is known by its id
	maxSeen       = 1 << 16 // so many at once; what is older is known by its sender's floor
	watermarkFor  = 900.0   // seconds without a request until the floor of a process is forgotten
	maxWatermarks = 4096
)

// asker is one process that sends requests here.
type senderProcess struct {
	address     string
	incarnation uint64
}

// arrival is a request as its sender names it.
type messageID struct {
	sender senderProcess
	id     uint64
}

// arrivals knows which requests have come here, so that one that comes again is not run again. Ids grow
// within a process: of the requests that are no longer known one by one, the highest id tells that those up
// to it may have come.
type seenRequests struct {
	seen       map[messageID]bool
	byAge      []seenEntry // the oldest first
	watermarks map[senderProcess]watermark
}

type seenEntry struct {
	message messageID
	seenAt  float64
}

type watermark struct {
	id     uint64
	seenAt float64 // when the newest of those up to it came
}

func newSeenRequests() seenRequests {
	return seenRequests{seen: map[messageID]bool{}, watermarks: map[senderProcess]watermark{}}
}

// admit notes a request, and says why it may have come before; "": it has not. Older proxies have no life,
// and the same ids in each: theirs are not told apart.
func (s *seenRequests) admit(now float64, message messageID) string {
	s.prune(now)
	switch {
	case message.sender.incarnation == 0:
		return ""
	case s.seen[message]:
		return dropDuplicate
	case message.id <= s.watermarks[message.sender].id:
		return dropTooOld
	}
	s.seen[message] = true
	s.byAge = append(s.byAge, seenEntry{message, now})
	return ""
}

// prune leaves the oldest requests to their senders' floors.
func (s *seenRequests) prune(now float64) {
	for len(s.byAge) > 0 && (len(s.byAge) >= maxSeen || now > s.byAge[0].seenAt+seenFor) {
		oldest := s.byAge[0]
		s.byAge = s.byAge[1:]
		delete(s.seen, oldest.message)
		s.raiseWatermark(now, oldest)
	}
}

// raise lets a process's floor include a request.
func (s *seenRequests) raiseWatermark(now float64, entry seenEntry) {
	sender := entry.message.sender
	if _, has := s.watermarks[sender]; !has && len(s.watermarks) >= maxWatermarks {
		s.evictWatermarks(now)
	}
	s.watermarks[sender] = watermark{max(s.watermarks[sender].id, entry.message.id), entry.seenAt}
}

// forget drops the floors of processes that have long said nothing, and the oldest one in any case.
func (s *seenRequests) evictWatermarks(now float64) {
	var oldest senderProcess
	oldestAt := math.Inf(1)
	for sender, mark := range s.watermarks {
		switch {
		case now > mark.seenAt+watermarkFor:
			delete(s.watermarks, sender)
		case mark.seenAt < oldestAt:
			oldest, oldestAt = sender, mark.seenAt
		}
	}
	if len(s.watermarks) >= maxWatermarks {
		delete(s.watermarks, oldest)
	}
}
