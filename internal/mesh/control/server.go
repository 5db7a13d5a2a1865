// Package control is the control plane's state machine: which control processes there are, the configuration, the roll of hosts
// as news, and the registers of keys. (The field's term: control plane.) It takes inputs and returns what to send, to write
// and to answer; sockets, disk and clock are the program's.
package control

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/store"
)

// Times, in seconds. Each names what it waits for.
const (
	foundAfter    = 1.2  // the founder waits for others to come
	foundQuiet    = 0.6  // and for nobody to have come for so long
	joinEvery     = 0.15 // a process without members asks for them
	digestSoon    = 0.06 // the same, while no majority has been heard
	digestEvery   = 0.25 // what the others hear from this one, at least
	wholeEvery    = 3.0  // all that is known, to one of the others
	silentAfter   = 7.0  // a proxy that nobody has heard of for so long takes no requests
	forgetAfter   = 30.0 // and is forgotten then
	holdFor       = 0.7  // a pull that lacks nothing is answered then at the latest
	writeFor      = 0.9  // a configuration without a majority: its caller goes elsewhere after a second
	aloneAfter    = 0.7  // without a word from a majority: what is known here may be old
	dumpEvery     = 0.3  // what was not answered is asked again
	forgiveBefore = register.GiveUp + 0.4
	mostParked    = 4096
	mostSources   = 8192
)

const (
	nameMembers = "members"
	nameCharter = "charter"
	nameSure    = "sure"  // the newest configuration known to be in force
	nameWhole   = "whole" // the registers hold all that this process ever promised
)

// Options is what a server is told at its start.
type Options struct {
	Self   string
	Seeds  []string
	First  bool    // the whole system starts for the first time
	Window float64 // seconds for which a key's answer is kept
	Life   uint32  // drawn anew for each start
	Log    func(event string, args ...any)
}

// Server is one control process.
type Server struct {
	o         Options
	began     float64
	registers *register.Registers
	members   []string
	joined    map[string]bool // at the founder
	joinAt    float64         // when the last of them came
	askAt     float64
	empty     bool // its disk came back empty: it has to recover
	dumps     map[string]*dump

	held, sure uint64 // versions of the configuration: on this disk, on a majority
	known      uint64 // the newest that another says is on a majority
	text       []byte
	holds      map[string]uint64  // what the others have on theirs
	met        map[string]float64 // when another was heard last
	writes     map[uint64]*write
	lastID     uint64

	records  map[string]*meshpb.Record
	heard    map[string]float64 // when a source was last heard of, by anybody
	direct   map[string]bool    // heard here since the last digest
	parked   []parked
	newer    bool             // something has come since the parked were looked through
	changed  []*meshpb.Record // since the last digest
	digestAt float64
	wholeAt  float64
	whole    int

	court court
	out   register.Effects
	count Counts
}

type dump struct {
	after string
	done  bool
	asked float64
}

// write is a configuration on its way to a majority, or a question for the newest.
type write struct {
	began, tried float64
	edition      uint64 // 0: a question
	votes        map[string]bool
	answer       func(edition uint64, text []byte, ok bool)
}

type parked struct {
	from  string
	id    uint64
	pull  *meshpb.Pull
	until float64
}

// New makes a server from what its disk held. found says whether there was a store.
func New(now float64, o Options, values map[string][]byte, found bool) (*Server, error) {
	h := &Server{o: o, began: now, registers: register.New(o.Self, o.Life, o.Window), joined: map[string]bool{}, dumps: map[string]*dump{},
		holds: map[string]uint64{}, met: map[string]float64{}, writes: map[uint64]*write{}, records: map[string]*meshpb.Record{},
		heard: map[string]float64{}, direct: map[string]bool{}, court: court{benches: map[string]*bench{}}}
	if o.Log == nil {
		h.o.Log = func(string, ...any) {}
	}
	if text := values[nameCharter]; len(text) > 8 {
		h.held, h.text = binary.BigEndian.Uint64(text), text[8:]
	}
	if text := values[nameSure]; len(text) == 8 && binary.BigEndian.Uint64(text) == h.held {
		h.sure = h.held // it was in force, so proxies that start may begin with it
	}
	if err := h.registers.Restore(now, values); err != nil {
		return nil, err
	}
	whole := len(values[nameWhole]) > 0
	h.empty = !o.First && !whole
	if text := values[nameMembers]; len(text) > 0 {
		h.seat(now, string(text))
	}
	return h, nil
}

// seat takes the members, in the form in which they are kept.
func (h *Server) seat(now float64, text string) {
	h.members = nil
	for m := range bytes.SplitSeq([]byte(text), []byte(",")) {
		h.members = append(h.members, string(m))
	}
	h.registers.Seat(h.members)
	if !h.empty {
		h.registers.Vote()
	}
	h.o.Log("seated", "members", text, "voting", h.registers.Voting())
}

// Take gives what is to be done since the last call.
func (h *Server) Take() register.Effects {
	out := h.registers.Take()
	out.Sends = append(out.Sends, h.out.Sends...)
	out.Puts = append(out.Puts, h.out.Puts...)
	out.After = append(out.After, h.out.After...)
	h.out = register.Effects{}
	return out
}

// Seeds takes over other seeds: the settings file has changed. Who knows the members asks nobody.
func (h *Server) Seeds(seeds []string) { h.o.Seeds = seeds }

// Ready says whether calls can be served here.
func (h *Server) Ready() bool { return h.registers.Voting() }

// Members are the control processes, once they are known.
func (h *Server) Members() []string { return h.members }

func (h *Server) majority() int { return len(h.members)/2 + 1 }

func (h *Server) send(to string, p *meshpb.Message) {
	h.out.Sends = append(h.out.Sends, transport.Send{To: to, Message: p})
}

func (h *Server) others(p *meshpb.Message) {
	for _, m := range h.members {
		if m != h.o.Self {
			h.send(m, p)
		}
	}
}

// Heard takes a parcel.
func (h *Server) Heard(now float64, from string, p *meshpb.Message) {
	switch {
	case p.Found != nil:
		h.heardFound(now, from, p.Found)
	case p.Pull != nil:
		h.heardPull(now, from, p.Id, p.Pull)
	case p.Digest != nil:
		h.heardDigest(now, from, p.Digest)
	case p.Store != nil:
		h.heardStore(now, from, p.Id, p.Store)
	case p.Stored != nil:
		h.heardStored(now, from, p.Id, p.Stored)
	case p.Dump != nil:
		h.heardDump(from, p.Id, p.Dump)
	case p.Dumped != nil:
		h.heardDumped(now, from, p.Dumped)
	case p.Claim != nil && h.alone(now): // nothing can be bound from here: the asker goes elsewhere at once
		h.answerer(from, p.Id, p.Claim.Token, false)(register.Unsure, nil)
	case p.Claim != nil:
		h.count.Claims++
		h.registers.Claim(now, p.Claim, h.answerer(from, p.Id, p.Claim.Token, true))
	case p.Settle != nil: // who settles has the receipt
		h.count.Settles++
		h.registers.Settle(now, p.Settle.Key, p.Settle.Receipt, p.Settle.IfFree, h.answerer(from, p.Id, p.Settle.Receipt.GetToken(), false))
	case p.Ping != nil:
		h.send(from, &meshpb.Message{Id: p.Id, Pong: p.Ping})
	default:
		h.registers.Heard(now, from, p)
	}
}

func (h *Server) answerer(from string, id, token uint64, receipt bool) func(uint32, *meshpb.Receipt) {
	return func(state uint32, held *meshpb.Receipt) {
		c := &meshpb.Claimed{State: state, Token: token}
		switch {
		case state == register.Unsure:
			h.count.Unsure++
		case receipt && state == register.Claimed:
			h.count.Granted++
		}
		if receipt && state == register.Done {
			c.Receipt = held
		}
		h.send(from, &meshpb.Message{Id: id, Claimed: c})
	}
}

// Tick does what is due. It is to be called every few hundredths of a second.
func (h *Server) Tick(now float64) {
	if h.members == nil {
		h.meet(now)
	} else if h.empty && h.isMember() {
		h.recover(now)
	}
	h.registers.Tick(now)
	h.tickWrites(now)
	h.tickCourt(now)
	h.tickNews(now)
}

func (h *Server) isMember() bool { return slices.Contains(h.members, h.o.Self) }

// ---- who the members are

// meet finds out, or as the founder decides, who the members are. The founder is the first of the seeds by address: at the
// first start every process has the same three, and they are up. What it has decided stands for ever: it is on its disk before
// anybody hears of it.
func (h *Server) meet(now float64) {
	founder := slices.Min(h.o.Seeds)
	if h.o.First && founder == h.o.Self {
		if !h.joined[h.o.Self] {
			h.joined[h.o.Self], h.joinAt = true, now
		}
		all := true
		for _, s := range h.o.Seeds {
			all = all && h.joined[s]
		}
		if all && now > h.began+foundAfter && now > h.joinAt+foundQuiet {
			h.found(now)
		}
		return
	}
	if now < h.askAt {
		return
	}
	h.askAt = now + joinEvery
	for _, s := range h.o.Seeds {
		if s != h.o.Self {
			h.send(s, &meshpb.Message{Found: &meshpb.Found{Join: true, From: h.o.Self}})
		}
	}
}

func (h *Server) found(now float64) {
	var members []string
	for m := range h.joined {
		members = append(members, m)
	}
	slices.Sort(members)
	h.become(now, members)
	for _, m := range members {
		if m != h.o.Self {
			h.out.After = append(h.out.After, transport.Send{To: m, Message: &meshpb.Message{Found: &meshpb.Found{Members: members}}})
		}
	}
}

// become takes the members for ever.
func (h *Server) become(now float64, members []string) {
	var text []byte
	for i, m := range members {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, m...)
	}
	h.out.Puts = append(h.out.Puts, store.Put{Name: nameMembers, Value: text})
	if !h.empty {
		h.out.Puts = append(h.out.Puts, store.Put{Name: nameWhole, Value: []byte("1")})
	}
	h.seat(now, string(text))
}

func (h *Server) heardFound(now float64, from string, f *meshpb.Found) {
	switch {
	case f.Join && h.members != nil:
		h.send(from, &meshpb.Message{Found: &meshpb.Found{Members: h.members}})
	case f.Join && !h.joined[from]:
		h.joined[from], h.joinAt = true, now
	case len(f.Members) > 0 && h.members == nil:
		h.become(now, f.Members)
	}
}

// ---- a disk that came back empty

// recover asks the others for all they hold. Enough of them have answered when every majority that this process may have
// been part of left a copy with one of those.
func (h *Server) recover(now float64) {
	if now < h.began+forgiveBefore { // ballots that it had a part in are given up by then
		return
	}
	done := 0
	for _, m := range h.members {
		if m == h.o.Self {
			continue
		}
		d := h.dumps[m]
		if d == nil {
			d = &dump{asked: -1}
			h.dumps[m] = d
		}
		if d.done {
			done++
		} else if now > d.asked+dumpEvery {
			d.asked = now
			h.send(m, &meshpb.Message{Dump: &meshpb.Dump{After: d.after}})
		}
	}
	if done < len(h.members)-h.majority()+1 {
		return
	}
	h.empty = false
	h.out.Puts = append(h.out.Puts, store.Put{Name: nameWhole, Value: []byte("1")})
	h.registers.Recovered(now)
	registers, _ := h.registers.Size()
	h.o.Log("recovered", "registers", registers, "edition", h.held, "from", done)
}

// heardDump gives a page, unless this process lacks something itself.
func (h *Server) heardDump(from string, id uint64, d *meshpb.Dump) {
	if !h.registers.Voting() {
		return
	}
	page, last := h.registers.Dump(d.After)
	out := &meshpb.Dumped{Entries: page, Last: last, Voting: true}
	if last {
		out.Edition, out.Text = h.held, h.text
	}
	h.send(from, &meshpb.Message{Id: id, Dumped: out})
}

func (h *Server) heardDumped(now float64, from string, d *meshpb.Dumped) {
	w := h.dumps[from]
	if !h.empty || w == nil || w.done || !d.Voting {
		return
	}
	h.registers.Recover(now, d.Entries)
	if len(d.Entries) > 0 {
		w.after = d.Entries[len(d.Entries)-1].Key
	}
	if !d.Last {
		w.asked = now
		h.send(from, &meshpb.Message{Dump: &meshpb.Dump{After: w.after}})
		return
	}
	w.done = true
	h.store(d.Edition, d.Text)
}

// ---- the configuration

// store keeps a configuration on this disk if it is newer than what is there. Of two with one number, which two operators may
// send at one moment, all keep the same.
func (h *Server) store(edition uint64, text []byte) {
	if edition < h.held || edition == h.held && bytes.Compare(text, h.text) <= 0 || edition == 0 {
		return
	}
	h.held, h.text = edition, text
	h.out.Puts = append(h.out.Puts, store.Put{Name: nameCharter,
		Value: append(binary.BigEndian.AppendUint64(nil, edition), text...)})
}

// Put has a valid configuration kept by a majority. One that is not above what is held changes nothing; it is answered once
// what is held stands as firmly.
func (h *Server) Put(now float64, edition uint64, text []byte, answer func(ok bool)) {
	if !h.registers.Voting() {
		answer(false)
		return
	}
	if edition > h.held {
		h.count.Writes++
		h.store(edition, text)
	}
	if h.sure >= h.held {
		answer(true)
		return
	}
	h.write(now, h.held, func(_ uint64, _ []byte, ok bool) { answer(ok) })
}

func (h *Server) write(now float64, edition uint64, answer func(uint64, []byte, bool)) {
	h.lastID++
	w := &write{began: now, tried: now, edition: edition, votes: map[string]bool{}, answer: answer}
	h.writes[h.lastID] = w
	h.spread(h.lastID, w)
}

// spread sends a write, or a question, to all. This process counts once its own disk has it.
func (h *Server) spread(id uint64, w *write) {
	s := &meshpb.Store{Edition: h.held, Text: h.text}
	if w.edition == 0 {
		s = &meshpb.Store{Edition: h.held, Read: true}
	}
	h.others(&meshpb.Message{Id: id, Store: s})
	h.out.After = append(h.out.After, transport.Send{To: h.o.Self, Message: &meshpb.Message{Id: id,
		Stored: &meshpb.Stored{Edition: h.held, Yes: true}}})
}

func (h *Server) heardStore(now float64, from string, id uint64, s *meshpb.Store) {
	if !h.registers.Voting() {
		return
	}
	if !s.Read {
		h.store(s.Edition, s.Text)
	}
	out := &meshpb.Stored{Edition: h.held, Yes: true}
	if h.held > s.Edition {
		out.Text = h.text
	}
	h.out.After = append(h.out.After, transport.Send{To: from, Message: &meshpb.Message{Id: id, Stored: out}})
}

func (h *Server) heardStored(now float64, from string, id uint64, s *meshpb.Stored) {
	if s.Edition > h.held && len(s.Text) > 0 {
		h.store(s.Edition, s.Text) // a newer one: this copy is mended
	}
	h.holdsAt(now, from, s.Edition)
	w := h.writes[id]
	if w == nil || !s.Yes {
		return
	}
	if s.Edition >= w.edition {
		w.votes[from] = true
	}
	if len(w.votes) < h.majority() {
		return
	}
	if w.edition == 0 && h.sure < h.held { // read: the newest found has to stand as firmly before it is told
		w.edition, w.votes, w.tried = h.held, map[string]bool{}, now
		h.spread(id, w)
		return
	}
	delete(h.writes, id)
	if w.edition > h.sure {
		h.surely(now, w.edition)
	}
	w.answer(h.held, h.text, true)
}

// holdsAt notes what another has on its disk: what a majority has is in force.
func (h *Server) holdsAt(now float64, from string, edition uint64) {
	h.holds[from] = max(h.holds[from], edition)
	if from == h.o.Self || h.held <= h.sure {
		return
	}
	n := 0
	for _, m := range h.members {
		if h.holds[m] >= h.held {
			n++
		}
	}
	if n >= h.majority() {
		h.surely(now, h.held)
	}
}

// surely notes that a configuration is in force, and lets the proxies know.
func (h *Server) surely(now float64, edition uint64) {
	if edition <= h.sure {
		return
	}
	h.sure, h.newer = edition, true
	h.out.Puts = append(h.out.Puts, store.Put{Name: nameSure, Value: binary.BigEndian.AppendUint64(nil, edition)})
	h.o.Log("in force", "edition", edition)
	h.digestAt = 0
	h.wake(now)
}

// Get reads the newest configuration from a majority.
func (h *Server) Get(now float64, answer func(text []byte, ok bool)) {
	if !h.registers.Voting() {
		answer(nil, false)
		return
	}
	h.write(now, 0, func(_ uint64, text []byte, ok bool) { answer(text, ok) })
}

func (h *Server) tickWrites(now float64) {
	for _, id := range slices.Sorted(maps.Keys(h.writes)) {
		w := h.writes[id]
		switch {
		case now > w.began+writeFor:
			delete(h.writes, id)
			w.answer(0, nil, false)
		case now > w.tried+writeFor/3:
			w.tried = now
			h.spread(id, w)
		}
	}
}

// ---- news

// learn takes a record if it is newer than what is known of its source.
func (h *Server) learn(now float64, r *meshpb.Record, tell bool) {
	old := h.records[r.Source]
	if old != nil && old.Version >= r.Version || old == nil && len(h.records) >= mostSources {
		return
	}
	h.records[r.Source], h.newer = r, true
	if h.heard[r.Source] == 0 {
		h.heard[r.Source] = now
	}
	if tell {
		h.changed = append(h.changed, r)
		h.digestAt = 0
	}
	h.wake(now)
}

func (h *Server) heardPull(now float64, from string, id uint64, p *meshpb.Pull) {
	h.count.Pulls++
	if p.Own != nil {
		h.heard[p.Own.Source], h.direct[p.Own.Source] = now, true
		h.learn(now, p.Own, true)
		h.heardWords(now, p.Own.Source, p.Observations, true)
	}
	if !h.answerPull(now, from, id, p, !p.Hold || h.behind(now)) && len(h.parked) < mostParked {
		h.parked = append(h.parked, parked{from, id, p, now + holdFor})
	}
}

// behind says that what is known here may be old: proxies had better ask another. One that lost its disk hears the others and does not
// know what was acknowledged until it has recovered; one that missed a configuration knows that there is a newer one.
func (h *Server) behind(now float64) bool {
	return h.alone(now) || !h.registers.Voting() || h.sure < h.known
}

// alone says that this process has heard from no majority lately, as behind a cut: it would not know of what is new.
func (h *Server) alone(now float64) bool {
	n := 1
	for _, m := range h.members {
		if m != h.o.Self && h.met[m] > 0 && now < h.met[m]+aloneAfter {
			n++
		}
	}
	return h.members == nil || n < h.majority()
}

// answerPull tells a proxy what it lacks. Where that is nothing it is told so only if it must be.
func (h *Server) answerPull(now float64, from string, id uint64, p *meshpb.Pull, must bool) bool {
	news := &meshpb.Update{Servers: h.members, FromServer: true, Alone: h.behind(now)}
	has := make(map[string]uint64, len(p.Seen))
	for _, s := range p.Seen {
		has[s.Source] = s.Version
	}
	for source, r := range h.records {
		if v, known := has[source]; !known || v < r.Version {
			news.Records = append(news.Records, r)
		}
	}
	if version := h.benchesVersion(); version > p.EjectionLists {
		news.EjectionLists, news.EjectionsVersion = h.wireBenches(now), version
	}
	if h.sure > p.Edition && h.held >= h.sure {
		news.Edition, news.Text = h.held, h.text
	}
	news.Accused = h.court.told
	if len(news.Records) == 0 && news.Edition == 0 && news.EjectionsVersion == 0 && !must && !h.asks(p) {
		return false
	}
	slices.SortFunc(news.Records, func(a, b *meshpb.Record) int { return bytes.Compare([]byte(a.Source), []byte(b.Source)) })
	news.Silent = h.silent(now)
	h.send(from, &meshpb.Message{Id: id, Update: news})
	return true
}

// silent are the proxies of which nobody has heard for long, in order.
func (h *Server) silent(now float64) (sources []string) {
	for source, at := range h.heard {
		if now > at+silentAfter {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	return sources
}

// asks says whether a proxy is to be asked about an accused host of which it has not spoken.
func (h *Server) asks(p *meshpb.Pull) bool {
	return slices.ContainsFunc(h.court.told, func(station string) bool {
		return !slices.Contains(p.Accused, station)
	})
}

// wake answers the proxies that lack something by now.
func (h *Server) wake(now float64) {
	newer, behind := h.newer, h.behind(now)
	h.newer = false
	h.parked = slices.DeleteFunc(h.parked, func(w parked) bool {
		must := now > w.until || behind
		return (must || newer) && h.answerPull(now, w.from, w.id, w.pull, must)
	})
}

func (h *Server) heardDigest(now float64, from string, d *meshpb.Digest) {
	if now > h.met[from]+aloneAfter { // one that comes back, or comes first: it hears from here at once
		h.digestAt = 0
	}
	h.met[from] = now
	h.holdsAt(now, from, d.Held)
	for _, source := range d.Heard {
		if h.records[source] != nil {
			h.heard[source] = now
		}
	}
	for _, r := range d.Records {
		h.learn(now, r, false)
	}
	for _, t := range d.Reports {
		h.heardWords(now, t.Witness, t.Observations, false)
	}
	h.heardBenches(now, d.EjectionLists)
	if d.Held > h.held && len(h.writes) < 8 && h.registers.Voting() { // this copy is old: the sweep mends it
		h.write(now, 0, func(uint64, []byte, bool) {})
	}
	if d.Sure > h.sure && d.Sure == h.held {
		h.surely(now, d.Sure)
	}
	h.known = max(h.known, d.Sure) // last: what is known by now is no reason to send anybody on
}

// tickNews tells the others what is new, and forgets whom nobody has heard of.
func (h *Server) tickNews(now float64) {
	h.wake(now)
	if h.members == nil || now < h.digestAt {
		return
	}
	h.digestAt = now + digestEvery
	if h.alone(now) {
		h.digestAt = now + digestSoon
	}
	d := &meshpb.Digest{Held: h.held, Sure: h.sure, Records: h.changed, Reports: h.court.news, EjectionLists: h.wireBenches(now)}
	h.court.news = nil
	for source := range h.direct {
		d.Heard = append(d.Heard, source)
	}
	slices.Sort(d.Heard)
	clear(h.direct)
	h.changed = nil
	h.holds[h.o.Self] = h.held
	h.others(&meshpb.Message{Digest: d})
	if now >= h.wholeAt && len(h.members) > 1 {
		h.wholeAt = now + wholeEvery/float64(len(h.members)-1)
		h.whole++
		all := &meshpb.Digest{Held: h.held, Sure: h.sure}
		for _, r := range h.records {
			all.Records = append(all.Records, r)
		}
		if to := h.members[h.whole%len(h.members)]; to != h.o.Self && len(all.Records) > 0 {
			h.send(to, &meshpb.Message{Digest: all})
		}
	}
	for source, at := range h.heard {
		if now > at+forgetAfter {
			delete(h.heard, source)
			delete(h.records, source)
		}
	}
}

// Counts add up since the process started.
type Counts struct {
	Claims  uint64 `json:"claims"`
	Granted uint64 `json:"granted"`
	Settles uint64 `json:"settles"`
	Unsure  uint64 `json:"unsure"` // claims and ends of runs for which no majority was found
	Pulls   uint64 `json:"pulls"`
	Writes  uint64 `json:"configurations"`
}

// State is what an operator sees of a server.
type State struct {
	Members       []string               `json:"members"`
	Voting        bool                   `json:"voting"`
	Edition       uint64                 `json:"held"`
	InForce       uint64                 `json:"inForce"`
	Alone         bool                   `json:"alone"`
	Registers     int                    `json:"registers"`
	Keys          map[string]int         `json:"keys"`
	Oldest        float64                `json:"oldestClaimSeconds"`
	Changes       int                    `json:"changes"`
	Held          map[string]uint64      `json:"editions"`
	Pulls         int                    `json:"heldPulls"`
	EjectionLists []*meshpb.EjectionList `json:"ejectionLists"`
	Silent        []string               `json:"silent"`
	Counts        Counts                 `json:"counts"`
	Roll          []*meshpb.Record       `json:"roll"`
}

// State tells what is known here.
func (h *Server) State(now float64) State {
	s := State{Members: h.members, Voting: h.registers.Voting(), Alone: h.alone(now), Edition: h.held, InForce: h.sure, Pulls: len(h.parked),
		Held: maps.Clone(h.holds), Counts: h.count, EjectionLists: h.wireBenches(now)}
	s.Registers, s.Changes = h.registers.Size()
	s.Keys, s.Oldest = h.registers.Held(now)
	s.Silent = h.silent(now)
	for _, r := range h.records {
		s.Roll = append(s.Roll, proto.Clone(r).(*meshpb.Record))
	}
	slices.SortFunc(s.Roll, func(a, b *meshpb.Record) int { return bytes.Compare([]byte(a.Source), []byte(b.Source)) })
	return s
}
