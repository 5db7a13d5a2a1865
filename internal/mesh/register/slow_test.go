package register

import (
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

const slowTick = 0.02 // seconds between ticks

// slowNet is some servers whose messages all arrive, in order, each after the same time.
type slowNet struct {
	now      float64
	delay    float64 // seconds, one way
	names    []string
	servers  map[string]*Registers
	mail     []slowLetter
	prepares int // sent to other servers
}

type slowLetter struct {
	at float64
	letter
}

func newSlowNet(n int, delay float64) *slowNet {
	c := &slowNet{now: 1, delay: delay, servers: map[string]*Registers{}}
	var members []view.Member
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("m%d", i))
		members = append(members, view.Member{Address: c.names[i], Incarnation: 1})
	}
	for i, name := range c.names {
		l := New(members[i], uint32(i+1), 60)
		l.SetView(c.now, view.Founding(1, members), c.now)
		l.Vote()
		c.servers[name] = l
	}
	return c
}

func (c *slowNet) take(name string) {
	for {
		out := c.servers[name].Take()
		sends := slices.Concat(out.Sends, out.After)
		if len(sends) == 0 {
			return
		}
		for _, s := range sends {
			c.post(name, s)
		}
	}
}

func (c *slowNet) post(from string, s transport.Send) {
	if s.To == from {
		c.servers[from].Heard(c.now, view.Member{Address: from, Incarnation: 1}, s.Message)
		return
	}
	if s.Message.Prepare != nil {
		c.prepares++
	}
	c.mail = append(c.mail, slowLetter{c.now + c.delay, letter{from, s.To, s.Message}})
}

func (c *slowNet) run(seconds float64) {
	for until := c.now + seconds; c.now < until; c.now += slowTick {
		for len(c.mail) > 0 && c.mail[0].at <= c.now {
			m := c.mail[0]
			c.mail = c.mail[1:]
			c.servers[m.to].Heard(c.now, view.Member{Address: m.from, Incarnation: 1}, m.message)
			c.take(m.to)
		}
		for _, name := range c.names {
			c.servers[name].Tick(c.now)
			c.take(name)
		}
	}
}

// Answers that take 0.3 s are slow and not lost: a change that has to ask first comes to its end with one ballot, and is not begun anew
// while its answers are on the way.
func TestSlowAnswersEndAChange(t *testing.T) {
	c := newSlowNet(4, 0.15)
	const key = "operation"
	other := Home(key, c.names)[1] // it is not the key's home: it has to ask
	state := Unsure
	c.servers[other].Claim(c.now, &meshpb.Claim{Key: key, Token: 7, Gate: "g"}, func(s State, _ *meshpb.Receipt) { state = s })
	c.take(other)
	c.run(GiveUp + 0.2)
	if state != Claimed {
		t.Errorf("a claim whose answers take 0.3 s ends as %s", stateNames[state])
	}
	if most := len(c.names) - 1; c.prepares > most {
		t.Errorf("%d prepares to others, %d are needed", c.prepares, most)
	}
}

// Two servers change one key at the same time, and their answers are slow: one of them outbids the other, and neither begins anew
// again and again.
func TestSlowRivalsEnd(t *testing.T) {
	c := newSlowNet(4, 0.06)
	const key = "operation"
	order := Home(key, c.names)
	ends := map[State]int{}
	for i, name := range order[1:3] {
		claim := &meshpb.Claim{Key: key, Token: uint64(7 + i), Gate: name}
		c.servers[name].Claim(c.now, claim, func(s State, _ *meshpb.Receipt) { ends[s]++ })
		c.take(name)
	}
	c.run(2)
	if ends[Claimed] != 1 || ends[Busy] != 1 {
		t.Errorf("two claims of one key end as %v, want one claimed and one busy", ends)
	}
	if most := 6 * (len(c.names) - 1); c.prepares > most {
		t.Errorf("%d prepares to others, at most %d", c.prepares, most)
	}
}

// A joiner reads the same registers from several members, and writes each once.
func TestJoinerWritesEachRegisterOnce(t *testing.T) {
	const registers = 500
	b := newBag(1, 3)
	for _, name := range b.names {
		for i := range registers {
			b.servers[name].accept(1, &meshpb.Accept{Key: fmt.Sprintf("k%d", i), Ballot: Ballot{Epoch: 1, Round: 2, Node: 1, Life: 1}.Wire(),
				Value: &meshpb.Receipt{Token: uint64(i), State: Done}})
		}
	}
	joiner := New(view.Member{Address: "j", Incarnation: 1}, 9, 60)
	puts := 0
	for _, name := range b.names {
		page, _, _ := b.servers[name].Page(0)
		joiner.Merge(2, page)
		puts += len(joiner.Take().Puts)
	}
	if puts > registers {
		t.Errorf("%d writes for %d registers", puts, registers)
	}
}
