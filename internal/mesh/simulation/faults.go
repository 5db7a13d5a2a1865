package simulation

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// Faults are the random faults that the network inflicts on messages.
type Faults struct {
	Duplicate       float64 // share of messages that are delivered a second time, over another connection
	Delay           float64 // share of messages that are delivered late and out of order, over another connection
	MaxDelaySeconds float64 // maximum delay of duplicated and delayed messages
	Corrupt         float64 // share of messages in which one byte is changed
	Drop            float64 // share of messages that are lost together with their connection
	ControlPlane    bool    // apply the faults also to messages between control servers
	NewIDs          bool    // deliberate bug: duplicates get a new message ID, so receivers cannot detect them
	counts          map[string]int
}

// newIDBit is set in the IDs of duplicated messages if Faults.NewIDs is set. No other message has this bit.
const newIDBit = 1 << 63

// Count returns how many times a fault was injected, by its name: duplicate, delay, corrupt or drop.
func (f *Faults) Count(name string) int { return f.counts[name] }

// drawFault decides at random whether a fault is injected, and counts it.
func (w *World) drawFault(name string, share float64, from, to string) bool {
	if share == 0 || w.Rand.Float64() >= share {
		return false
	}
	if w.Faults.counts == nil {
		w.Faults.counts = map[string]int{}
	}
	w.Faults.counts[name]++
	w.noteDisturbance(from, to)
	return true
}

// faultsApply reports whether faults apply to the messages from one process to another: at least one of them is a proxy, or
// Faults.ControlPlane is set.
func (w *World) faultsApply(from, to string) bool {
	_, fromProxy := w.machines[from].(*Proxy)
	_, toProxy := w.machines[to].(*Proxy)
	return fromProxy || toProxy || w.Faults.ControlPlane
}

// duplicateOrDelay injects the faults duplicate and delay. It returns true if the message is delivered late, so that its own
// connection must not carry it.
func (w *World) duplicateOrDelay(from, to string, m *meshpb.Message) (delayed bool) {
	if !w.faultsApply(from, to) {
		return false
	}
	if w.drawFault("duplicate", w.Faults.Duplicate, from, to) {
		again := proto.Clone(m).(*meshpb.Message)
		if w.Faults.NewIDs {
			again.Id |= newIDBit
		}
		w.deliverSeparately(from, to, again)
	}
	if w.drawFault("delay", w.Faults.Delay, from, to) {
		w.deliverSeparately(from, to, m)
		return true
	}
	return false
}

// deliverSeparately delivers a message over a separate connection after a random delay, to the process that has the address
// then.
func (w *World) deliverSeparately(from, to string, m *meshpb.Message) {
	w.After(w.LatencySeconds+w.Faults.MaxDelaySeconds*w.Rand.Float64(), func() {
		target := w.machines[to]
		if target.alive() && !w.blocked[[2]string{from, to}] {
			target.receive(from, m)
		}
	})
}

// drawCorruption decides at random whether a message is corrupted.
func (w *World) drawCorruption(from, to string) bool {
	return w.faultsApply(from, to) && w.drawFault("corrupt", w.Faults.Corrupt, from, to)
}

// corrupt changes one byte of the encoded message. If the transport can still decode the frame, the decoded message is
// delivered; otherwise the connection is closed at both ends.
func (w *World) corrupt(l *link, from, to string, m *meshpb.Message) {
	const frameHeaderSize = 4
	frame, err := transport.AppendFrame(nil, &meshpb.Message{Hello: &meshpb.Hello{From: from}})
	if err != nil {
		panic(err)
	}
	helloLength := len(frame)
	if frame, err = transport.AppendFrame(frame, m); err != nil {
		panic(err)
	}
	offset := helloLength + frameHeaderSize + w.Rand.IntN(len(frame)-helloLength-frameHeaderSize)
	frame[offset] ^= byte(1 + w.Rand.IntN(255))
	r := transport.NewReader(bufio.NewReader(bytes.NewReader(frame)), nil)
	if _, err := r.Read(); err != nil {
		panic(err)
	}
	if changed, err := r.Read(); err == nil {
		w.machines[to].receive(from, changed)
		return
	}
	w.closeBoth(l, from, to)
}

// drawDrop decides at random whether a message is dropped.
func (w *World) drawDrop(from, to string) bool {
	return w.faultsApply(from, to) && w.drawFault("drop", w.Faults.Drop, from, to)
}

// closeBoth closes a connection in both directions.
func (w *World) closeBoth(l *link, from, to string) {
	w.closeLink(l, from, to)
	if back := w.links[[2]string{to, from}]; back != nil {
		w.closeLink(back, to, from)
	}
}

// closeLink closes one direction of a connection and notifies the sending process. Messages in flight may have arrived.
func (w *World) closeLink(l *link, from, to string) {
	sender := w.machines[from]
	if l.closed || !sender.alive() || sender.incarnation() != l.senderIncarnation {
		return
	}
	l.closed = true
	sender.connectionLost(transport.Disconnected{Peer: to, Link: l.number})
}

// freezer stops a process, as SIGSTOP does: its connections stay open, and its inputs wait.
type freezer struct {
	frozen   bool
	deferred []func()
	thaws    int // number of times that the process was thawed
}

// Freeze stops the process.
func (f *freezer) Freeze() { f.frozen = true }

// Thaw resumes the process. The inputs that arrived while it was frozen are handled in order.
func (f *freezer) Thaw() {
	if !f.frozen {
		return
	}
	f.frozen = false
	f.thaws++
	deferred := f.deferred
	f.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// deferWhileFrozen keeps an input for Thaw if the process is frozen, and reports whether it is.
func (f *freezer) deferWhileFrozen(input func(), deliver func(func())) bool {
	if f.frozen {
		f.deferred = append(f.deferred, func() { deliver(input) })
	}
	return f.frozen
}

// Reset closes the connections between two machines. Messages in flight are lost.
func (w *World) Reset(one, other string) {
	w.noteDisturbance(one, other)
	for _, key := range [][2]string{{one, other}, {other, one}} {
		if l := w.links[key]; l != nil {
			w.closeLink(l, key[0], key[1])
		}
	}
}
