package sidecar

import "math"

const (
	seenFor       = 60.0    // seconds for which each request is remembered by its ID
	maxSeen       = 1 << 16 // requests remembered at once; older ones are covered by their senders' watermarks
	watermarkFor  = 900.0   // seconds without a request until the watermark of a process is dropped
	maxWatermarks = 4096
)

// senderProcess is one process that sends requests here.
type senderProcess struct {
	address     string
	incarnation uint64
}

// messageID identifies a request by its sender and the sender's ID for it.
type messageID struct {
	sender senderProcess
	id     uint64
}

// seenRequests detects requests that arrive more than once, so that no request runs twice. The IDs of one process grow.
// For requests that are no longer remembered one by one, a watermark per process keeps the highest ID: a request with
// that ID or a lower one may have arrived before.
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
	id     uint64  // the highest ID that it covers
	seenAt float64 // when the latest request that it covers arrived
}

func newSeenRequests() seenRequests {
	return seenRequests{seen: map[messageID]bool{}, watermarks: map[senderProcess]watermark{}}
}

// admit remembers a request. If the request has arrived before, or may have, admit returns the reason to drop it, and
// otherwise the empty string. Processes of an older version send no incarnation and reuse their IDs after a restart, so
// their requests cannot be checked.
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

// prune drops the oldest requests and raises their senders' watermarks instead.
func (s *seenRequests) prune(now float64) {
	for len(s.byAge) > 0 && (len(s.byAge) >= maxSeen || now > s.byAge[0].seenAt+seenFor) {
		oldest := s.byAge[0]
		s.byAge = s.byAge[1:]
		delete(s.seen, oldest.message)
		s.raiseWatermark(now, oldest)
	}
}

// raiseWatermark raises the watermark of a process to a request.
func (s *seenRequests) raiseWatermark(now float64, entry seenEntry) {
	sender := entry.message.sender
	if _, has := s.watermarks[sender]; !has && len(s.watermarks) >= maxWatermarks {
		s.evictWatermarks(now)
	}
	s.watermarks[sender] = watermark{max(s.watermarks[sender].id, entry.message.id), entry.seenAt}
}

// evictWatermarks drops the watermarks of processes that have sent nothing for long. If there are still too many, it also
// drops the oldest one that is left.
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
