package main

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// The limits of each queue of the inbox. When a queue is full, connections are no longer read, so that further messages wait at
// their senders.
const (
	maxQueuedMessages = 1024
	maxQueuedBytes    = 8 << 20 // total size of the messages; a larger message is accepted only into an empty queue
)

// inbox queues received messages until they are processed. Heartbeats go first, so that on a busy processor no member is
// considered failed because its heartbeat waits behind other messages. Apart from that, messages are processed in the order of
// their arrival.
type inbox struct {
	mu       sync.Mutex
	notEmpty sync.Cond // a message was added
	notFull  sync.Cond // a message was removed
	urgent   queue     // heartbeats
	normal   queue     // all other messages
}

// queue is a first-in-first-out queue of messages.
type queue struct {
	messages []queuedMessage
	bytes    int
}

// queuedMessage is a message with its encoded size in bytes.
type queuedMessage struct {
	transport.Received
	size int
}

// full reports whether the queue has no room for a message of the given size.
func (q *queue) full(size int) bool {
	n := len(q.messages)
	return n >= maxQueuedMessages || n > 0 && q.bytes+size > maxQueuedBytes
}

func (q *queue) add(m queuedMessage) {
	q.messages, q.bytes = append(q.messages, m), q.bytes+m.size
}

// pop removes and returns the first message.
func (q *queue) pop() transport.Received {
	m := q.messages[0]
	q.messages[0] = queuedMessage{}
	q.bytes -= m.size
	if q.messages = q.messages[1:]; len(q.messages) == 0 {
		q.messages = nil
	}
	return m.Received
}

func newInbox() *inbox {
	b := &inbox{}
	b.notEmpty.L, b.notFull.L = &b.mu, &b.mu
	return b
}

// put adds a message. It waits while the message's queue is full.
func (b *inbox) put(received transport.Received) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := &b.normal
	if meshpb.IsHeartbeat(received.Message) {
		queue = &b.urgent
	}
	m := queuedMessage{received, proto.Size(received.Message)}
	for queue.full(m.size) {
		b.notFull.Wait()
	}
	queue.add(m)
	b.notEmpty.Signal()
}

// take removes and returns the next message to process. It waits while there is none.
func (b *inbox) take() transport.Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.urgent.messages)+len(b.normal.messages) == 0 {
		b.notEmpty.Wait()
	}
	queue := &b.urgent
	if len(b.urgent.messages) == 0 {
		queue = &b.normal
	}
	b.notFull.Broadcast()
	return queue.pop()
}
