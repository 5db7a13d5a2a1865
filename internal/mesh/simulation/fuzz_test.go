package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/mesh/transport"
)

// messageGenerator generates random messages. Each field is randomly present or absent, and has either a value that is
// meaningful to the processes or an arbitrary one.
type messageGenerator struct {
	rng   *rand.Rand
	ids   []uint64 // of open requests
	dense bool     // most fields are present, else few
}

// message returns a random message, encoded and decoded as on the wire.
func (d *messageGenerator) message(t *testing.T) *meshpb.Message {
	t.Helper()
	d.dense = d.rng.IntN(2) == 0
	m := &meshpb.Message{}
	fields := m.ProtoReflect().Descriptor().Fields()
	d.fill(m.ProtoReflect(), d.rng.IntN(fields.Len()), 0)
	if len(d.ids) > 0 && d.rng.IntN(2) == 0 {
		m.Id = d.ids[d.rng.IntN(len(d.ids))]
	}
	frame, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	read := &meshpb.Message{}
	if err := proto.Unmarshal(frame, read); err != nil {
		t.Fatal(err)
	}
	return read
}

// fill sets random fields of a message. The field with the index wanted is always set. At the top level there is seldom more
// than one kind of content.
func (d *messageGenerator) fill(m protoreflect.Message, wanted, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		present := d.rng.IntN(4) == 0 || d.dense && d.rng.IntN(4) > 0
		if depth == 0 && f.Message() != nil {
			present = d.rng.IntN(40) == 0
		}
		if !present && i != wanted {
			continue
		}
		if !f.IsList() {
			m.Set(f, d.value(m.NewField(f), f, depth))
			continue
		}
		list := m.Mutable(f).List()
		for range d.rng.IntN(4) {
			list.Append(d.value(list.NewElement(), f, depth))
		}
	}
}

// value returns a random value for a field.
func (d *messageGenerator) value(empty protoreflect.Value, f protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	small := d.rng.IntN(5) > 0
	number := d.rng.Uint64()
	if small {
		number = d.rng.Uint64N(5)
	}
	switch f.Kind() {
	case protoreflect.MessageKind:
		d.fill(empty.Message(), -1, depth+1)
		return empty
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(d.rng.IntN(2) == 0)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(number)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(d.text())
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(d.bytes())
	}
	panic("messages have no fields of kind " + f.Kind().String())
}

// text returns a random address, key, host or service.
func (d *messageGenerator) text() string {
	all := []string{"", "a:1", "b:1", "c:1", "p:1", "q:1", "k", "\x00configuration", "\x00view", "\x00ejections\x00shop",
		"i-1", "shop", "till"}
	return all[d.rng.IntN(len(all))]
}

// bytes returns a configuration, a register value or garbage.
func (d *messageGenerator) bytes() []byte {
	switch d.rng.IntN(3) {
	case 0:
		return Config(1)
	case 1:
		text, err := proto.Marshal(&meshpb.Config{Version: d.rng.Uint64N(9), Text: Config(2)})
		if err != nil {
			panic(err)
		}
		return text
	}
	return []byte{8, byte(d.rng.Uint32()), 255}
}

// mustNotPanic passes an input to a process, and reports the message if the process panics.
func mustNotPanic(t *testing.T, name string, m *meshpb.Message, input func()) {
	t.Helper()
	defer func() {
		if reason := recover(); reason != nil {
			t.Fatalf("%s: %v\n%v", name, reason, m)
		}
	}()
	input()
}

// recordIDs keeps the IDs of the latest requests that a process sends.
func (d *messageGenerator) recordIDs(sends []transport.Send) {
	const most = 32
	for _, s := range sends {
		if s.Message.Id != 0 && !meshpb.IsAnswer(s.Message) {
			d.ids = append(d.ids, s.Message.Id)
		}
	}
	d.ids = d.ids[max(0, len(d.ids)-most):]
}

// fuzzRounds returns the number of processes of each kind that get random messages, which SIMULATION_FUZZ overrides.
func fuzzRounds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIMULATION_FUZZ"), 10, 64); err == nil {
		return n
	}
	return 100
}

const messagesPerProcess = 200

// A control server must not panic on random, incomplete messages of any sender, itself included.
func TestControlServerSurvivesAnyMessage(t *testing.T) {
	for seed := range fuzzRounds() {
		d := &messageGenerator{rng: rand.New(rand.NewPCG(seed, 3))}
		seeds := []string{"a:1", "b:1", "c:1"}
		s, err := control.New(1, control.Options{Self: "a:1", Seeds: seeds, Bootstrap: true, Tolerance: 1,
			RetentionSeconds: dedupWindowSeconds, Life: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		now := 1.0
		take := func() {
			for range 4 {
				out := s.TakeEffects()
				d.recordIDs(out.Sends)
				d.recordIDs(out.After)
				for _, send := range append(out.Sends, out.After...) {
					if send.To == "a:1" {
						mustNotPanic(t, fmt.Sprintf("seed %d, its own", seed), send.Message, func() {
							s.HandleMessage(now, "a:1",
								send.Message)
						})
					}
				}
			}
		}
		if seed%3 > 0 { // else the server is alone and has no view
			for _, other := range seeds[1:] {
				s.HandleMessage(now, other, &meshpb.Message{Incarnation: 1, Join: &meshpb.Join{}})
			}
		}
		for range 200 {
			now += tickSeconds
			s.Tick(now)
			take()
		}
		if seed%3 > 0 && !s.Voting() {
			t.Fatalf("seed %d: the server does not vote, so the test is not meaningful", seed)
		}
		for i := range messagesPerProcess {
			m := d.message(t)
			from := []string{"a:1", "b:1", "c:1", "p:1"}[d.rng.IntN(4)]
			if d.rng.IntN(4) > 0 { // of the current epoch and of a member
				m.Epoch, m.Incarnation = s.State(now).Epoch, 1
				if from == "a:1" {
					m.Incarnation = s.State(now).Incarnation
				}
			}
			name := fmt.Sprintf("seed %d, message %d from %s", seed, i, from)
			mustNotPanic(t, name, m, func() { s.HandleMessage(now, from, m); take() })
			now += tickSeconds * d.rng.Float64()
			mustNotPanic(t, name+", then a tick", m, func() { s.Tick(now); take() })
		}
	}
}

// A proxy with requests in progress must not panic on random, incomplete messages of any sender.
func TestProxySurvivesAnyMessage(t *testing.T) {
	for seed := range fuzzRounds() {
		d := &messageGenerator{rng: rand.New(rand.NewPCG(seed, 5))}
		p := sidecar.New(1, sidecar.Options{Self: "p:1", Zone: "a", Service: "shop", Seeds: []string{"a:1", "b:1", "c:1"},
			HeartbeatInterval: heartbeatSeconds,
			RetryRatio:        0.2, RetrySlack: 60, RecordVersion: 1, Seed: seed, MaxBodyBytes: 1 << 24,
			AgreedEjection: seed%2 == 0})
		now, life := 1.0, uint64(0)
		take := func() {
			out := p.TakeOutput()
			d.recordIDs(out.Sends)
			for _, s := range out.Sends {
				if !meshpb.IsAnswer(s.Message) {
					life = s.Message.Life
				}
			}
			for _, do := range out.Commands {
				if x, ok := do.(sidecar.Exchange); ok && d.rng.IntN(2) == 0 {
					p.ExchangeDone(now, x.Job, &meshpb.Forwarded{Verdict: uint32(d.rng.IntN(12)), Status: 200})
				}
			}
		}
		p.Heartbeat(now, sidecar.Heartbeat{ID: "i-1", Service: "shop", Slots: 1, Sequence: 1})
		p.ProbeDone(now, "i-1", true)
		p.Tick(now)
		take()
		for i := range messagesPerProcess {
			m := d.message(t)
			from := []string{"a:1", "b:1", "c:1", "p:1", "q:1"}[d.rng.IntN(5)]
			if d.rng.IntN(4) > 0 {
				m.Life = life
			}
			name := fmt.Sprintf("seed %d, message %d from %s", seed, i, from)
			mustNotPanic(t, name, m, func() { p.Receive(now, from, m); take() })
			o := &sidecar.Request{Method: "POST", Target: "/read/x", Host: "shop.example", ID: "q", Timeout: 1, ReplyTo: 0}
			if i%2 == 0 {
				o.Target, o.IdempotencyKey = "/pay/x", "k"
			}
			now += tickSeconds * d.rng.Float64()
			mustNotPanic(t, name+", then a request", m, func() { p.Submit(now, o); take() })
			mustNotPanic(t, name+", then a tick", m, func() { p.Tick(now); take() })
		}
	}
}
