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

// Heartbeats are worked on before all else that waits; all else keeps its order.
func TestHeartbeatsGoFirst(t *testing.T) {
	b := newInbox()
	for _, came := range []transport.Received{claim(1), claim(2), heartbeat(3), claim(4), heartbeat(5)} {
		b.put(came)
	}
	for _, want := range []uint64{3, 5, 1, 2, 4} {
		if got := b.take().Message.Id; got != want {
			t.Fatalf("took %d, want %d", got, want)
		}
	}
}

// A full inbox holds up who brings more, and nobody who brings a heartbeat; nothing is lost by it.
func TestFullInboxHoldsUp(t *testing.T) {
	b := newInbox()
	for n := range uint64(mostWaiting) {
		b.put(claim(n))
	}
	more := make(chan struct{})
	go func() {
		b.put(claim(mostWaiting))
		close(more)
	}()
	b.put(heartbeat(9999))
	select {
	case <-more:
		t.Error("a message was taken where there was no room")
	default:
	}
	if got := b.take().Message.Id; got != 9999 {
		t.Fatalf("took %d first", got)
	}
	for n := range uint64(mostWaiting + 1) {
		if got := b.take().Message.Id; got != n {
			t.Fatalf("took %d, want %d", got, n)
		}
	}
	<-more
}

// Large messages are bounded by their bytes; one that is larger than the bound comes through where nothing else waits.
func TestInboxIsBoundedInBytes(t *testing.T) {
	q := queue{}
	if q.full(2 * mostWaitingBytes) {
		t.Error("a message larger than the bound never comes through")
	}
	q.add(arrival{claim(1), mostWaitingBytes - 1})
	if !q.full(2) || q.full(1) {
		t.Error("the bound in bytes does not hold")
	}
	q.first()
	if q.full(2 * mostWaitingBytes) {
		t.Error("room is not given back")
	}
}
