package main

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// How much waits to be worked on before connections are no longer read: what comes then waits with its sender.
const (
	mostWaiting      = 1024    // messages
	mostWaitingBytes = 8 << 20 // and bytes in them; one larger message has the room for itself
)

// inbox is what has come and waits to be worked on, in order, but for heartbeats: they go first, so that on a full processor no member is
// taken for lost because its word waits behind other work.
type inbox struct {
	mu      sync.Mutex
	filled  sync.Cond // something has come
	emptied sync.Cond // there is room again
	urgent  queue
	normal  queue
}

// queue is messages in order.
type queue struct {
	waiting []arrival
	bytes   int
}

// arrival is a message with its size.
type arrival struct {
	transport.Received
	size int
}

func (q *queue) full(more int) bool {
	n := len(q.waiting)
	return n >= mostWaiting || n > 0 && q.bytes+more > mostWaitingBytes
}

func (q *queue) add(a arrival) {
	q.waiting, q.bytes = append(q.waiting, a), q.bytes+a.size
}

func (q *queue) first() transport.Received {
	a := q.waiting[0]
	q.waiting[0] = arrival{}
	q.bytes -= a.size
	if q.waiting = q.waiting[1:]; len(q.waiting) == 0 {
		q.waiting = nil
	}
	return a.Received
}

func newInbox() *inbox {
	b := &inbox{}
	b.filled.L, b.emptied.L = &b.mu, &b.mu
	return b
}

// put takes a message. It waits while too many others do.
func (b *inbox) put(came transport.Received) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := &b.normal
	if meshpb.IsHeartbeat(came.Message) {
		queue = &b.urgent
	}
	a := arrival{came, proto.Size(came.Message)}
	for queue.full(a.size) {
		b.emptied.Wait()
	}
	queue.add(a)
	b.filled.Signal()
}

// take gives the message that is to be worked on next, and waits for one.
func (b *inbox) take() transport.Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.urgent.waiting)+len(b.normal.waiting) == 0 {
		b.filled.Wait()
	}
	queue := &b.urgent
	if len(b.urgent.waiting) == 0 {
		queue = &b.normal
	}
	b.emptied.Broadcast()
	return queue.first()
}
