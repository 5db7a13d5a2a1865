package simulation

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// Faults are what the network does to messages, by lot.
type Faults struct {
	Double  float64 // share of messages that come a second time, by a connection of their own
	Late    float64 // share that come by a connection of their own, after all else
	Within  float64 // seconds within which those come
	Garble  float64 // share of which a byte is changed on the way
	Lose    float64 // share that do not come: their connection ends
	Control bool    // they befall messages between control processes too
	Renamed bool    // what comes a second time has an id that was not seen before: a planted fault
	done    map[string]int
}

// firstRenamed is where the ids of doubled messages begin that Faults.Renamed asks for.
const firstRenamed = 1 << 63

// Done is how often a fault came to pass, by its name.
func (f *Faults) Done(name string) int { return f.done[name] }

func (w *World) faulty(name string, share float64, from, to string) bool {
	if share == 0 || w.Rand.Float64() >= share {
		return false
	}
	if w.Faults.done == nil {
		w.Faults.done = map[string]int{}
	}
	w.Faults.done[name]++
	w.disturbed(from, to)
	return true
}

// befallen says whether faults are for the messages from one process to another: a proxy is at one end at
// least, or Faults.Control is set.
func (w *World) befallen(from, to string) bool {
	_, sends := w.byAddr[from].(*Proxy)
	_, takes := w.byAddr[to].(*Proxy)
	return sends || takes || w.Faults.Control
}

// disturb has a message come twice, or late; true: not by its own connection.
func (w *World) disturb(from, to string, m *meshpb.Message) (late bool) {
	if !w.befallen(from, to) {
		return false
	}
	if w.faulty("double", w.Faults.Double, from, to) {
		again := proto.Clone(m).(*meshpb.Message)
		if w.Faults.Renamed {
			again.Id |= firstRenamed
		}
		w.stray(from, to, again)
	}
	if w.faulty("late", w.Faults.Late, from, to) {
		w.stray(from, to, m)
		return true
	}
	return false
}

// stray brings a message by a connection of its own, to whatever process has the address by then.
func (w *World) stray(from, to string, m *meshpb.Message) {
	w.After(w.Delay+w.Faults.Within*w.Rand.Float64(), func() {
		target := w.byAddr[to]
		if target.alive() && !w.cuts[[2]string{from, to}] {
			target.heard(from, m)
		}
	})
}

func (w *World) garbles(from, to string) bool {
	return w.befallen(from, to) && w.faulty("garble", w.Faults.Garble, from, to)
}

// garble changes a byte of a message. What the reader of the connection makes of that comes; where it makes
// nothing, the connection ends for both.
func (w *World) garble(l *link, from, to string, m *meshpb.Message) {
	const frameHead = 4
	frame, err := transport.AppendFrame(nil, &meshpb.Message{Hello: &meshpb.Hello{From: from}})
	if err != nil {
		panic(err)
	}
	hello := len(frame)
	if frame, err = transport.AppendFrame(frame, m); err != nil {
		panic(err)
	}
	at := hello + frameHead + w.Rand.IntN(len(frame)-hello-frameHead)
	frame[at] ^= byte(1 + w.Rand.IntN(255))
	r := transport.NewReader(bufio.NewReader(bytes.NewReader(frame)), nil)
	if _, err := r.Read(); err != nil {
		panic(err)
	}
	if changed, err := r.Read(); err == nil {
		w.byAddr[to].heard(from, changed)
		return
	}
	w.endBoth(l, from, to)
}

func (w *World) loses(from, to string) bool {
	return w.befallen(from, to) && w.faulty("lose", w.Faults.Lose, from, to)
}

// endBoth breaks a connection for the processes at both ends.
func (w *World) endBoth(l *link, from, to string) {
	w.end(l, from, to)
	if back := w.links[[2]string{to, from}]; back != nil {
		w.end(back, to, from)
	}
}

// end breaks a connection. The process that sends by it hears of that; what is on its way may have arrived.
func (w *World) end(l *link, from, to string) {
	sender := w.byAddr[from]
	if l.dead || !sender.alive() || sender.life() != l.born {
		return
	}
	l.dead = true
	sender.broke(transport.Disconnected{Peer: to, Link: l.number})
}

// freezer holds up a process, as SIGSTOP does: its connections stay, and what comes waits.
type freezer struct {
	frozen bool
	waits  []func()
	thawed int // how often it was
}

// Freeze holds the process up.
func (f *freezer) Freeze() { f.frozen = true }

// Thaw lets it go on. What came meanwhile comes now, in order.
func (f *freezer) Thaw() {
	if !f.frozen {
		return
	}
	f.frozen = false
	f.thawed++
	waits := f.waits
	f.waits = nil
	for _, do := range waits {
		do()
	}
}

// holds keeps an input for later while the process is frozen.
func (f *freezer) holds(input func(), give func(func())) bool {
	if f.frozen {
		f.waits = append(f.waits, func() { give(input) })
	}
	return f.frozen
}

// Reset ends the connections between two machines, with what is on its way in them.
func (w *World) Reset(one, other string) {
	w.disturbed(one, other)
	for _, key := range [][2]string{{one, other}, {other, one}} {
		if l := w.links[key]; l != nil {
			w.end(l, key[0], key[1])
		}
	}
}
