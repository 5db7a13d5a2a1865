package capacity

import (
	"maps"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Role is what a process of the fleet does.
type Role string

// The roles.
const (
	Proxy  Role = "proxy"
	Server Role = "server"
)

// Flow is a kind of message from processes of one role to those of another.
type Flow struct {
	Kind     string
	From, To Role
}

// Traffic adds up messages, and their bytes as framed on the wire.
type Traffic struct{ Messages, Bytes uint64 }

// processorTime is what the thread has used of a processor. It is not moved by what else runs on the machine,
// as the time of day is; the caller stays on its thread between two readings.
func processorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(used.Nano())
}

// Input is a kind of input to the state machines of a role: the kind of a message, or an event such as
// "tick". Marshalling and unmarshalling are inputs of their own, "encode" and "decode".
type Input struct {
	Role Role
	Name string
}

// Work adds up inputs and the processor time that they took.
type Work struct {
	Inputs uint64
	Took   time.Duration
}

// Meter is what a fleet has cost so far, or over some time.
type Meter struct {
	Traffic     map[Flow]Traffic
	Work        map[Input]Work
	Syncs       uint64 // of disks
	SyncedBytes uint64
	Seconds     float64 // of simulated time
}

func newMeter() *Meter { return &Meter{Traffic: map[Flow]Traffic{}, Work: map[Input]Work{}} }

func (m *Meter) sent(flow Flow, bytes int) {
	t := m.Traffic[flow]
	t.Messages++
	t.Bytes += uint64(bytes)
	m.Traffic[flow] = t
}

func (m *Meter) worked(role Role, input string, began time.Duration) {
	took := processorTime() - began
	key := Input{role, input}
	w := m.Work[key]
	w.Inputs++
	w.Took += took
	m.Work[key] = w
}

func (m *Meter) clone() *Meter {
	c := *m
	c.Traffic, c.Work = maps.Clone(m.Traffic), maps.Clone(m.Work)
	return &c
}

// since is what has been added after an earlier reading.
func (m *Meter) since(before *Meter) *Meter {
	d := m.clone()
	for flow, t := range before.Traffic {
		now := d.Traffic[flow]
		d.Traffic[flow] = Traffic{now.Messages - t.Messages, now.Bytes - t.Bytes}
	}
	for input, w := range before.Work {
		now := d.Work[input]
		d.Work[input] = Work{now.Inputs - w.Inputs, now.Took - w.Took}
	}
	d.Syncs -= before.Syncs
	d.SyncedBytes -= before.SyncedBytes
	d.Seconds -= before.Seconds
	return d
}

// Sent adds up what processes of a role have sent; Received what they were sent.
func (m *Meter) Sent(role Role) (sum Traffic) {
	return m.sum(func(f Flow) bool { return f.From == role })
}

// Received adds up what processes of a role were sent.
func (m *Meter) Received(role Role) (sum Traffic) {
	return m.sum(func(f Flow) bool { return f.To == role })
}

// Kind adds up the messages of a kind.
func (m *Meter) Kind(kind string) Traffic {
	return m.sum(func(f Flow) bool { return f.Kind == kind })
}

func (m *Meter) sum(counts func(Flow) bool) (sum Traffic) {
	for flow, t := range m.Traffic {
		if counts(flow) {
			sum.Messages += t.Messages
			sum.Bytes += t.Bytes
		}
	}
	return sum
}

// Took adds up the processor time of a role.
func (m *Meter) Took(role Role) (sum time.Duration) {
	for input, w := range m.Work {
		if input.Role == role {
			sum += w.Took
		}
	}
	return sum
}

// kindOf is the name of the part that a message carries, as the protocol names it.
func kindOf(m proto.Message) (kind string) {
	m.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		if f.Kind() != protoreflect.MessageKind {
			return true
		}
		kind = string(f.Name())
		return false
	})
	return kind
}
