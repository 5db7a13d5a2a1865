package capacity

import (
	"encoding/binary"
	"hash/fnv"
	"io"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

const (
	frameHead    = 4   // bytes of a frame's length
	resetAfter   = 2.0 // one-way delays until a sender hears that nobody listens
	silentWithin = 1.5 // seconds until a connection to a silent machine is given up
	jitter       = 0.4 // of the delay of a pair of machines, drawn once: messages of a link stay in order
)

// process is one process of the fleet, as the network sees it.
type process interface {
	place() *place
	receive(from string, m *meshpb.Message)
	broke(b transport.Broke)
}

// place is where a process runs, and what its network interface has carried.
type place struct {
	address  string
	role     Role
	zone     int
	region   int
	running  bool
	dark     bool // its machine is silent: what is sent there is not answered
	sent     Traffic
	received Traffic
}

// network carries frames between the processes of a fleet.
type network struct {
	clock     *clock
	meter     *Meter
	options   *Options
	byAddress map[string]process
	cutRegion int                  // that reaches no other; 0: none
	wire      io.Writer            // takes every frame as it is written; nil: nobody looks
	broken    map[[2]string]uint64 // connections that have ended, by the addresses of sender and receiver
}

// send frames a message, counts it, and delivers it after the way it has. It returns the number of the
// connection.
func (n *network) send(from *place, to string, m *meshpb.Message) uint64 {
	target := n.byAddress[to]
	if target == nil { // nobody ever had that address
		n.clock.after(silentWithin, n.reset(from, to, m))
		return n.link(from, to)
	}
	kind := kindOf(m)
	began := processorTime()
	frame := n.frame(m)
	n.meter.worked(from.role, "encode", began)
	if n.wire != nil {
		if _, err := n.wire.Write(frame); err != nil {
			panic(err) // the test's own writer
		}
	}
	at := target.place()
	n.count(from, at, kind, len(frame))
	delay := n.delay(from, at)
	switch {
	case from.dark:
	case at.dark || n.isCut(from, at):
		n.clock.after(silentWithin, n.reset(from, to, nil))
	case !at.running:
		n.clock.after(resetAfter*delay, n.reset(from, to, m))
	default:
		n.clock.after(delay, func() { n.deliver(from, target, frame) })
	}
	return n.link(from, to)
}

// link is the number of the connection from a process to another.
func (n *network) link(from *place, to string) uint64 {
	return n.broken[[2]string{from.address, to}] + 1
}

// frame marshals a message as the transport does.
func (n *network) frame(m *meshpb.Message) []byte {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHead, frameHead+proto.Size(m)), m)
	if err != nil {
		panic(err) // a state machine made a message that has no wire form
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHead))
	return frame
}

func (n *network) count(from, to *place, kind string, bytes int) {
	n.meter.sent(Flow{kind, from.role, to.role}, bytes)
	from.sent.Messages++
	from.sent.Bytes += uint64(bytes)
	to.received.Messages++
	to.received.Bytes += uint64(bytes)
}

func (n *network) deliver(from *place, target process, frame []byte) {
	at := target.place()
	if !at.running || at.dark {
		return
	}
	began := processorTime()
	m := &meshpb.Message{}
	if err := proto.Unmarshal(frame[frameHead:], m); err != nil {
		panic(err) // it was marshalled here
	}
	n.meter.worked(at.role, "decode", began)
	target.receive(from.address, m)
}

// reset tells a sender that its connection is no more. A message that is given never went out.
func (n *network) reset(from *place, to string, unsent *meshpb.Message) func() {
	return func() {
		sender := n.byAddress[from.address]
		if sender == nil || !from.running || from.dark {
			return
		}
		b := transport.Broke{Peer: to, Link: n.link(from, to)}
		n.broken[[2]string{from.address, to}]++
		if unsent != nil {
			b.Unsent = []uint64{unsent.Id}
		}
		sender.broke(b)
	}
}

func (n *network) isCut(a, b *place) bool {
	return n.cutRegion > 0 && a.region != b.region && (a.region == n.cutRegion || b.region == n.cutRegion)
}

// delay is how long a message takes one way. It is the same for all messages of a pair of machines.
func (n *network) delay(from, to *place) float64 {
	delay := n.options.DelayInRegion
	if from.region != to.region {
		delay = n.options.DelayAcrossRegion
	}
	h := fnv.New32a()
	io.WriteString(h, from.address)
	io.WriteString(h, to.address)
	part := float64(h.Sum32()%1000) / 1000
	return delay * (1 - jitter/2 + jitter*part)
}
