package main

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

func heartbeat(n uint64) transport.Received {
	return transport.Received{From: "a", Message: &meshpb.Message{Id: n, Digest: &meshpb.Digest{}}}
}

func claim(n uint64) transport.Received {
	return transport.Received{From: "a", Message: &meshpb.Message{Id: n, Claim: &meshpb.Claim{}}}
}

// Heartbeats are processed before all other messages, and the others keep their order.
func TestHeartbeatsGoFirst(t *testing.T) {
	b := newInbox()
	for _, message := range []transport.Received{claim(1), claim(2), heartbeat(3), claim(4), heartbeat(5)} {
		b.put(message)
	}
	for _, want := range []uint64{3, 5, 1, 2, 4} {
		if got := b.take().Message.Id; got != want {
			t.Fatalf("took %d, want %d", got, want)
		}
	}
}

// put blocks while the queue is full, but not for a heartbeat, and no message is lost.
func TestFullInboxHoldsUp(t *testing.T) {
	b := newInbox()
	for n := range uint64(maxQueuedMessages) {
		b.put(claim(n))
	}
	blockedPut := make(chan struct{})
	go func() {
		b.put(claim(maxQueuedMessages))
		close(blockedPut)
	}()
	b.put(heartbeat(9999))
	select {
	case <-blockedPut:
		t.Error("a message was accepted by a full queue")
	default:
	}
	if got := b.take().Message.Id; got != 9999 {
		t.Fatalf("took %d, want the heartbeat first", got)
	}
	for n := range uint64(maxQueuedMessages + 1) {
		if got := b.take().Message.Id; got != n {
			t.Fatalf("took %d, want %d", got, n)
		}
	}
	<-blockedPut
}

// A queue also limits the total size of its messages. A message larger than the limit is accepted only if the queue is empty.
func TestInboxIsBoundedInBytes(t *testing.T) {
	q := queue{}
	if q.full(2 * maxQueuedBytes) {
		t.Error("an empty queue does not accept a message larger than the limit")
	}
	q.add(queuedMessage{claim(1), maxQueuedBytes - 1})
	if !q.full(2) || q.full(1) {
		t.Error("the size limit is not applied exactly")
	}
	q.pop()
	if q.full(2 * maxQueuedBytes) {
		t.Error("removing a message does not free its size")
	}
}
