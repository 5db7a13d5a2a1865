package main

import (
	"sync"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// mostWaiting is how many messages wait to be worked on before connections are no longer read: what came since waits with its sender then.
const mostWaiting = 1024

// inbox is what has come and waits to be worked on, in order, but for heartbeats: they go first, so that on a full processor no member is
// taken for lost because its word waits behind other work.
type inbox struct {
	mu      sync.Mutex
	filled  sync.Cond // something has come
	emptied sync.Cond // there is room again
	urgent  []transport.Came
	normal  []transport.Came
}

func newInbox() *inbox {
	b := &inbox{}
	b.filled.L, b.emptied.L = &b.mu, &b.mu
	return b
}

// put takes a message. It waits while too many others do.
func (b *inbox) put(came transport.Came) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := &b.normal
	if meshpb.IsHeartbeat(came.Message) {
		queue = &b.urgent
	}
	for len(*queue) >= mostWaiting {
		b.emptied.Wait()
	}
	*queue = append(*queue, came)
	b.filled.Signal()
}

// take gives the message that is to be worked on next, and waits for one.
func (b *inbox) take() transport.Came {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.urgent)+len(b.normal) == 0 {
		b.filled.Wait()
	}
	queue := &b.urgent
	if len(b.urgent) == 0 {
		queue = &b.normal
	}
	came := (*queue)[0]
	(*queue)[0] = transport.Came{}
	if *queue = (*queue)[1:]; len(*queue) == 0 {
		*queue = nil
	}
	b.emptied.Broadcast()
	return came
}
