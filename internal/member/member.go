// Package member tracks which proxies of a fleet are alive, and carries messages between them. A process joins with
// Join, which returns its Membership. The package uses hashicorp/memberlist, which is SWIM with Lifeguard's suspicion
// over UDP and TCP.
//
// Processes with another fleet's name or without a valid key cannot become members. Their packets are dropped, counted,
// and logged at most once a minute. Messages may be lost, duplicated or delayed.
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

// Config holds the settings of a member.
type Config struct {
	Name      string
	Fleet     string   // processes with another fleet name cannot join
	Listen    string   // address for both UDP and TCP
	Advertise string   // address at which other members reach this one; "": Listen
	Seeds     []string // addresses of some members, not all of which need to be live
	Keys      [][]byte // the first encrypts, and all decrypt; none: no encryption
}

const (
	rejoinInterval    = 3 * time.Second  // between attempts to contact lost members
	seedContactPeriod = 30 * time.Second // in which a new process contacts a seed again, to be known at its address
	lostMemberTTL     = 15 * time.Minute // after which a lost member is forgotten
	maxLostMembers    = 64               // remembered at most
	maxLostContacts   = 3                // lost members contacted at a time, in addition to seeds
	logInterval       = time.Minute      // between two log lines of the same kind
	inboxSize         = 1024             // received messages that can wait
	maxPacketMessage  = 1200             // bytes; longer messages do not fit into a packet
	leaveTimeout      = 200 * time.Millisecond
)

// Membership is this process's membership in the fleet.
type Membership struct {
	cfg        Config
	list       *memberlist.Memberlist
	keyring    *memberlist.Keyring
	messages   chan []byte
	libraryLog *memberlistLog
	done       chan struct{}
	goroutines sync.WaitGroup

	mu      sync.Mutex
	lost    map[string]lostMember // by name
	dropped int                   // messages that found the inbox full
}

type lostMember struct {
	addr string
	at   time.Time
}

// Join makes this process a member. It returns at once, and retries seeds that cannot be reached yet.
func Join(cfg Config, logger *zap.Logger) (*Membership, error) {
	m := &Membership{cfg: cfg, messages: make(chan []byte, inboxSize), done: make(chan struct{}),
		lost: map[string]lostMember{}}
	m.libraryLog = &memberlistLog{log: logger}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("members: listen: %w", err)
	}
	advertise, err := netip.ParseAddrPort(cmp.Or(cfg.Advertise, cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("members: advertise: %w", err)
	}
	c := m.memberlistConfig(listen, advertise)
	if len(cfg.Keys) > 0 {
		if m.keyring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("members: keys: %w", err)
		}
		c.Keyring = m.keyring
	}
	if c.Transport, err = newTransport(listen); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if m.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	m.goroutines.Go(m.rejoin)
	return m, nil
}

func (m *Membership) memberlistConfig(listen, advertise netip.AddrPort) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = m.cfg.Name, m.cfg.Fleet
	c.BindAddr, c.BindPort = listen.Addr().String(), int(listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	c.Delegate, c.Events, c.Conflict = m, m, m
	c.Logger = log.New(m.libraryLog, "", 0)
	c.TCPTimeout = 2 * time.Second
	c.EnableCompression = false              // messages are short
	c.DeadNodeReclaimTime = time.Millisecond // a member restarted at a new address replaces its old entry once that is dead
	c.GossipToTheDeadTime = time.Minute      // so that members cut off by a partition learn that they are considered dead
	c.GossipInterval = time.Second / 2       // membership seldom changes, and messages are sent directly
	c.PushPullInterval = 15 * time.Second    // full state, over TCP
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 3
	c.HandoffQueueDepth = inboxSize
	return c
}

// Alive returns the names of all live members, including this one.
func (m *Membership) Alive() []string {
	var names []string
	for _, n := range m.list.Members() {
		names = append(names, n.Name)
	}
	return names
}

// Messages returns the channel on which messages from other members arrive.
func (m *Membership) Messages() <-chan []byte { return m.messages }

// Send sends a message, which may be lost. A message that is too long for a packet goes over TCP, in a separate
// goroutine.
func (m *Membership) Send(to string, message []byte) error {
	for _, n := range m.list.Members() {
		if n.Name != to {
			continue
		}
		if len(message) <= maxPacketMessage {
			return m.list.SendBestEffort(n, message)
		}
		m.goroutines.Go(func() { m.list.SendReliable(n, message) })
		return nil
	}
	return fmt.Errorf("members: %q is not a live member", to)
}

// Rekey replaces the keys. No messages are lost if all members can decrypt with every key in use at each step. To
// change a key, first add the new key behind the old one on all members, then put the new key first on all, and then
// remove the old key.
func (m *Membership) Rekey(keys [][]byte) error {
	if m.keyring == nil || len(keys) == 0 {
		return errors.New("members: encryption cannot be switched on or off while running")
	}
	for _, k := range keys {
		if err := m.keyring.AddKey(k); err != nil {
			return fmt.Errorf("members: %w", err)
		}
	}
	if err := m.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	for _, k := range m.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(x []byte) bool { return bytes.Equal(x, k) }) {
			if err := m.keyring.RemoveKey(k); err != nil {
				return fmt.Errorf("members: %w", err)
			}
		}
	}
	return nil
}

// Dropped returns the number of lines that memberlist logged, such as for packets from outside the fleet, plus the
// number of messages that arrived faster than they were taken.
func (m *Membership) Dropped() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped + m.libraryLog.total()
}

// Leave tells the other members and ends the membership.
func (m *Membership) Leave() {
	close(m.done)
	m.list.Leave(leaveTimeout)
	m.list.Shutdown()
	m.goroutines.Wait()
}

// rejoin contacts lost members, and seeds that are not members, until Leave. Otherwise the two sides of a network
// partition would never contact each other again.
//
// A process that has just restarted may still be known at its previous address, so that the message of its death goes
// there instead. It therefore contacts a seed again a few times, even if that seed is a live member.
func (m *Membership) rejoin() {
	delay, nextSeedContact, started := 10*time.Millisecond, rejoinInterval, time.Now()
	for {
		select {
		case <-m.done:
			return
		case <-time.After(delay):
		}
		delay = rejoinInterval
		addrs := m.rejoinAddrs()
		if age := time.Since(started); age >= nextSeedContact && nextSeedContact < seedContactPeriod {
			nextSeedContact *= 2
			addrs = append(addrs, m.cfg.Seeds[:min(1, len(m.cfg.Seeds))]...)
		}
		if len(addrs) > 0 {
			m.list.Join(addrs)
		}
	}
}

// rejoinAddrs returns the addresses to contact: some lost members, and the seeds that are not live members. Otherwise
// separate groups could persist, each of which would take itself for the whole fleet.
func (m *Membership) rejoinAddrs() (addrs []string) {
	live := map[string]bool{m.cfg.Advertise: true, m.cfg.Listen: true}
	for _, n := range m.list.Members() {
		live[n.Address()] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.lost, func(_ string, lost lostMember) bool { return time.Since(lost.at) > lostMemberTTL })
	for _, lost := range m.lost { // map order is random, which spreads the attempts
		if len(addrs) < maxLostContacts && !live[lost.addr] {
			addrs = append(addrs, lost.addr)
		}
	}
	for _, seed := range m.cfg.Seeds {
		if !live[seed] {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

// Methods of the memberlist delegates.

// NodeMeta returns no metadata.
func (m *Membership) NodeMeta(int) []byte { return nil }

// NotifyMsg queues a message from a member. It must not block.
func (m *Membership) NotifyMsg(b []byte) {
	select {
	case m.messages <- bytes.Clone(b):
	default:
		m.mu.Lock()
		m.dropped++
		m.mu.Unlock()
	}
}

// GetBroadcasts returns nothing, because messages are sent directly.
func (m *Membership) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns no additional state.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores additional state.
func (m *Membership) MergeRemoteState([]byte, bool) {}

// NotifyJoin removes a live member from the lost members.
func (m *Membership) NotifyJoin(n *memberlist.Node) {
	m.mu.Lock()
	delete(m.lost, n.Name)
	m.mu.Unlock()
}

// NotifyLeave remembers a member that is lost. Members that left on their own are not remembered.
func (m *Membership) NotifyLeave(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.State == memberlist.StateDead && len(m.lost) < maxLostMembers {
		m.lost[n.Name] = lostMember{n.Address(), time.Now()}
	}
}

// NotifyUpdate does nothing, because members have no metadata.
func (m *Membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict logs that two processes use the same name.
func (m *Membership) NotifyConflict(old, other *memberlist.Node) {
	m.libraryLog.record(fmt.Sprintf("two members are named %s, at %s and %s", old.Name, old.Address(), other.Address()))
}

// Encoding of messages.

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.WriteExt = true
	return h
}()

// Encode returns the encoding of a value as MessagePack.
func Encode(v any) ([]byte, error) {
	var b []byte
	if err := codec.NewEncoderBytes(&b, msgpackHandle).Encode(v); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return b, nil
}

// Decode decodes a message into v. Malformed input gives an error.
func Decode(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, msgpackHandle).Decode(v); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// memberlistLog counts the lines that memberlist logs, and logs one line of each kind per minute.
type memberlistLog struct {
	log *zap.Logger

	mu        sync.Mutex
	kinds     map[string]*lineKind
	lineCount int
}

type lineKind struct {
	unlogged int
	loggedAt time.Time
}

// Write takes a line of memberlist's log. It ignores debug lines.
func (l *memberlistLog) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte("[DEBUG]")) {
		l.record(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// Lines with the same first kindPrefixLength bytes are of one kind. Beyond maxKinds kinds, lines are counted but not logged.
const kindPrefixLength, maxKinds = 40, 32

func (l *memberlistLog) record(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lineCount++
	if l.kinds == nil {
		l.kinds = map[string]*lineKind{}
	}
	name := line[:min(len(line), kindPrefixLength)]
	k := l.kinds[name]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			return
		}
		k = &lineKind{}
		l.kinds[name] = k
	}
	k.unlogged++
	if time.Since(k.loggedAt) >= logInterval {
		l.log.Info("members", zap.String("said", line), zap.Int("times", k.unlogged))
		k.unlogged, k.loggedAt = 0, time.Now()
	}
}

func (l *memberlistLog) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lineCount
}
