// Package member knows which proxies of a fleet are there, and carries their words to each other: SWIM with Lifeguard's
// suspicion over UDP and TCP (hashicorp/memberlist). Who has another fleet's name or none of the keys stays out; what such
// send is dropped, counted, and logged once a minute at most. Words may be lost, come twice or late.
package member

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"log"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// Config is what a member is told.
type Config struct {
	Name      string
	Fleet     string   // members of other fleets are strangers
	Listen    string   // address for UDP and TCP alike
	Advertise string   // by which others reach it; "": Listen
	Seeds     []string // some of which are there when it starts
	Keys      [][]byte // the first encrypts, all are understood; none: words are in clear
}

const (
	rejoinEvery = 3 * time.Second  // at which lost members are called again
	youngFor    = 30 * time.Second // within which a new one makes sure that it is known where it is
	lostFor     = 15 * time.Minute // after which they are given up
	mostLost    = 64               // remembered
	callMost    = 3                // of them at a time, besides a seed
	logEvery    = time.Minute
	inbox       = 1024 // words that wait
	mostWord    = 1200 // bytes that fit into a packet
	leaveWithin = 200 * time.Millisecond
)

// Membership is this process's place among the members.
type Membership struct {
	cfg     Config
	list    *memberlist.Memberlist
	ring    *memberlist.Keyring
	words   chan []byte
	noise   *noise
	end     chan struct{}
	stopped sync.WaitGroup

	mu      sync.Mutex
	lost    map[string]lost // by name
	dropped int             // words that found no place in the inbox
}

type lost struct {
	addr string
	at   time.Time
}

// Join starts to be a member. It returns at once: seeds that are not there yet are called again.
func Join(cfg Config, logger *zap.Logger) (*Membership, error) {
	m := &Membership{cfg: cfg, words: make(chan []byte, inbox), end: make(chan struct{}), lost: map[string]lost{}}
	m.noise = &noise{log: logger}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("members: listen: %w", err)
	}
	advertise, err := netip.ParseAddrPort(cmp.Or(cfg.Advertise, cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("members: advertise: %w", err)
	}
	c := m.settings(listen, advertise)
	if len(cfg.Keys) > 0 {
		if m.ring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("members: keys: %w", err)
		}
		c.Keyring = m.ring
	}
	if c.Transport, err = listenAt(listen); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if m.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	m.stopped.Go(m.rejoin)
	return m, nil
}

func (m *Membership) settings(listen, advertise netip.AddrPort) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = m.cfg.Name, m.cfg.Fleet
	c.BindAddr, c.BindPort = listen.Addr().String(), int(listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	c.Delegate, c.Events, c.Conflict = m, m, m
	c.Logger = log.New(m.noise, "", 0)
	c.TCPTimeout = 2 * time.Second
	c.EnableCompression = false              // words are short
	c.DeadNodeReclaimTime = time.Millisecond // a name that comes back elsewhere goes before its ghost as soon as that is dead
	c.GossipToTheDeadTime = time.Minute      // so that those who were cut off learn that they are missed
	c.GossipInterval = time.Second / 2       // membership changes seldom; words go straight to whom they are for
	c.PushPullInterval = 15 * time.Second    // whole states, over TCP
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 3
	c.HandoffQueueDepth = inbox
	return c
}

// Alive names all members that are there, this one too.
func (m *Membership) Alive() []string {
	var names []string
	for _, n := range m.list.Members() {
		names = append(names, n.Name)
	}
	return names
}

// Messages is where other members' words come.
func (m *Membership) Messages() <-chan []byte { return m.words }

// Send sends a word, which may be lost. Long ones go over TCP, in a goroutine of their own.
func (m *Membership) Send(to string, word []byte) error {
	for _, n := range m.list.Members() {
		if n.Name != to {
			continue
		}
		if len(word) <= mostWord {
			return m.list.SendBestEffort(n, word)
		}
		m.stopped.Go(func() { m.list.SendReliable(n, word) })
		return nil
	}
	return fmt.Errorf("members: %q is not there", to)
}

// Rekey changes the keys. As long as all members understand a key that is in use, none is lost by that: add the new one behind
// the old everywhere, then put it first everywhere, then take the old one away.
func (m *Membership) Rekey(keys [][]byte) error {
	if m.ring == nil || len(keys) == 0 {
		return errors.New("members: keys cannot come or go while running")
	}
	for _, k := range keys {
		if err := m.ring.AddKey(k); err != nil {
			return fmt.Errorf("members: %w", err)
		}
	}
	if err := m.ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	for _, k := range m.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(x []byte) bool { return bytes.Equal(x, k) }) {
			if err := m.ring.RemoveKey(k); err != nil {
				return fmt.Errorf("members: %w", err)
			}
		}
	}
	return nil
}

// Dropped counts what strangers sent, and words that came faster than they were taken.
func (m *Membership) Dropped() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped + m.noise.total()
}

// Leave tells the others, and ends.
func (m *Membership) Leave() {
	close(m.end)
	m.list.Leave(leaveWithin)
	m.list.Shutdown()
	m.stopped.Wait()
}

// rejoin calls those that were lost, and seeds, until it ends: after a cut in the network neither side would call the other.
// A process that has just come up may be held for its ghost at another address, which hears in its place that it is dead: it
// calls a seed again a few times, though that one is there.
func (m *Membership) rejoin() {
	wait, again, born := 10*time.Millisecond, rejoinEvery, time.Now()
	for {
		select {
		case <-m.end:
			return
		case <-time.After(wait):
		}
		wait = rejoinEvery
		addrs := m.missing()
		if age := time.Since(born); age >= again && again < youngFor {
			again *= 2
			addrs = append(addrs, m.cfg.Seeds[:min(1, len(m.cfg.Seeds))]...)
		}
		if len(addrs) > 0 {
			m.list.Join(addrs)
		}
	}
}

// missing are addresses worth calling: some of the lost, and seeds that are not there. Guards against islands, each of which
// would hold itself for the fleet.
func (m *Membership) missing() (addrs []string) {
	there := map[string]bool{m.cfg.Advertise: true, m.cfg.Listen: true}
	for _, n := range m.list.Members() {
		there[n.Address()] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.lost, func(_ string, l lost) bool { return time.Since(l.at) > lostFor })
	for _, l := range m.lost { // in no order, which spreads the calls
		if len(addrs) < callMost && !there[l.addr] {
			addrs = append(addrs, l.addr)
		}
	}
	for _, s := range m.cfg.Seeds {
		if !there[s] {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// ---- memberlist's delegates

// NodeMeta says nothing beyond the name.
func (m *Membership) NodeMeta(int) []byte { return nil }

// NotifyMsg takes a word; it must not wait.
func (m *Membership) NotifyMsg(b []byte) {
	select {
	case m.words <- bytes.Clone(b):
	default:
		m.mu.Lock()
		m.dropped++
		m.mu.Unlock()
	}
}

// GetBroadcasts has none: words go straight to whom they are for.
func (m *Membership) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState adds nothing to what members know of each other.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (m *Membership) MergeRemoteState([]byte, bool) {}

// NotifyJoin notes a member.
func (m *Membership) NotifyJoin(n *memberlist.Node) {
	m.mu.Lock()
	delete(m.lost, n.Name)
	m.mu.Unlock()
}

// NotifyLeave notes one that is lost or has left.
func (m *Membership) NotifyLeave(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.State == memberlist.StateDead && len(m.lost) < mostLost {
		m.lost[n.Name] = lost{n.Address(), time.Now()}
	}
}

// NotifyUpdate takes nothing: there is no more than the name.
func (m *Membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict tells of two processes with one name.
func (m *Membership) NotifyConflict(old, other *memberlist.Node) {
	m.noise.note(fmt.Sprintf("two members are named %s, at %s and %s", old.Name, old.Address(), other.Address()))
}

// ---- words

var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}()

// Encode words a value for the wire (MessagePack).
func Encode(v any) ([]byte, error) {
	var b []byte
	if err := codec.NewEncoderBytes(&b, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return b, nil
}

// Decode reads a word. Garbage is an error.
func Decode(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, handle).Decode(v); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// noise counts what memberlist complains of, and logs once a minute of each kind.
type noise struct {
	log *zap.Logger

	mu    sync.Mutex
	kinds map[string]*kind
	all   int
}

type kind struct {
	since int
	at    time.Time
}

// Write takes a line of memberlist's log. Its debug lines are dropped.
func (n *noise) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte("[DEBUG]")) {
		n.note(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

const kindLength, mostKinds = 40, 32

func (n *noise) note(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all++
	if n.kinds == nil {
		n.kinds = map[string]*kind{}
	}
	name := line[:min(len(line), kindLength)]
	k := n.kinds[name]
	if k == nil {
		if len(n.kinds) >= mostKinds {
			return
		}
		k = &kind{}
		n.kinds[name] = k
	}
	k.since++
	if time.Since(k.at) >= logEvery {
		n.log.Info("members", zap.String("said", line), zap.Int("times", k.since))
		k.since, k.at = 0, time.Now()
	}
}

func (n *noise) total() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.all
}
