package simulation

import (
	"encoding/json"
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/routeconfig"
	"beechwing/internal/mesh/sidecar"
)

const beat = 1.5

// station is one life of a host.
type station struct {
	id      string
	seq     uint64
	leaving bool
	acked   float64 // when its word that it leaves was acknowledged
	dead    bool
	held    heldKeys
	Grey    float64 // share of runs whose answer is lost
	takes   float64 // seconds that each run takes on top
}

// StartHost starts a new life of the host beside a proxy.
func (s *Proxy) StartHost() {
	s.stations++
	st := &station{id: fmt.Sprintf("i-%s-%d", s.addr, s.stations)}
	s.station = st
	var beats func()
	beats = func() {
		if s.station != st || st.dead {
			return
		}
		s.beat(st)
		s.w.After(beat, beats)
	}
	s.w.After(0.05+0.1*s.w.Rand.Float64(), beats)
}

func (s *Proxy) beat(st *station) {
	st.seq++
	if !s.up {
		return
	}
	word := sidecar.Heartbeat{ID: st.id, Service: s.host.Carrier, Zone: s.host.Zone, Slots: 4, Draining: st.leaving, Sequence: st.seq}
	s.input(func() {
		s.sidecar.Heartbeat(s.w.Now, word)
		if st.leaving && word.Draining && st.acked == 0 {
			st.acked = s.w.Now
		}
	})
}

// Drain has the host say that it leaves, and end some seconds later.
func (s *Proxy) Drain() {
	st := s.station
	st.leaving = true
	s.beat(st)
	s.w.After(3, func() {
		st.dead = true
		s.input(func() { s.sidecar.HostSignedOff(s.w.Now, st.id) })
	})
}

// CrashHost ends the host without a word. Its proxy lives on.
func (s *Proxy) CrashHost() { s.station.dead = true }

// LoseAnswers has the host lose a share of its answers after it ran.
func (s *Proxy) LoseAnswers(share float64) { s.station.Grey = share }

// hostRun is a request at a host.
type hostRun struct{ aborted bool }

// abort closes the connection to the host, which drops the request.
func (s *Proxy) abort(do sidecar.Abort) {
	if r := s.running[do.Job]; r != nil {
		r.aborted = true
	}
}

// exchange is the host running a request.
func (s *Proxy) exchange(do sidecar.Exchange) {
	st, life := s.station, s.lives
	c := proto.Clone(do.Forward).(*meshpb.Forward)
	running := &hostRun{}
	s.running[do.Job] = running
	back := func(after float64, answer *meshpb.Forwarded) {
		s.w.After(after, func() {
			if s.up && s.lives == life {
				delete(s.running, do.Job)
				s.input(func() { s.sidecar.ExchangeDone(s.w.Now, do.Job, answer) })
			}
		})
	}
	if st == nil || st.dead {
		back(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.TurnedAway), Why: "refused", Refused: true})
		return
	}
	if st.id != c.Station { // another host has the address: it says so and does not run it
		back(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.HostTurnedAway), Why: "421"})
		return
	}
	key, sharded := shardKey(c)
	if sharded && !st.held.has(s.w.Now, key) {
		back(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.HostTurnedAway), Why: "421: not its key"})
		return
	}
	id := field(c.Fields, sidecar.HeaderID)
	stamp := s.w.Checker.ran(s, st, id, c)
	work := st.takes + 0.02 + 0.04*s.w.Rand.Float64()
	s.w.After(work, func() {
		if s.up && s.lives == life && s.station == st && !st.dead && !running.aborted {
			s.w.Checker.worked(s, id, c)
		}
	})
	if s.w.Rand.Float64() < st.Grey {
		back(work, &meshpb.Forwarded{Verdict: uint32(outcome.Broken), Why: "reset"})
		return
	}
	back(work, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200, Body: []byte("body of " + stamp),
		Fields: []*meshpb.Field{{Name: sidecar.HeaderPostmark, Value: stamp}}})
}

// probe is the host saying which life it is.
func (s *Proxy) probe() {
	if st := s.station; st != nil && !st.dead {
		life := s.lives
		s.w.After(0.002, func() {
			if s.up && s.lives == life {
				s.input(func() { s.sidecar.ProbeDone(s.w.Now, st.id, !st.leaving) })
			}
		})
	}
}

func field(fields []*meshpb.Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Ask has a client send a request to a proxy, and again where it may: up to so many tries in all, with the same key.
func (w *World) Ask(s *Proxy, path, key string, tries int) {
	if !s.up {
		return
	}
	o := w.order(s, path, key)
	id := o.ID
	again := func(after float64) {
		if tries > 1 {
			w.After(after, func() { w.Ask(s, path, key, tries-1) })
		}
	}
	life, thawed, answered := s.lives, s.thawed, false
	o.ReplyTo = func(r sidecar.Reply) {
		answered = true
		w.Checker.answered(id, r)
		if r.Status >= 300 && r.Status != 404 {
			again(max(0.02, r.RetryAfter))
		}
	}
	w.After(2, func() {
		if !answered && s.up && s.lives == life && !s.frozen && s.thawed == thawed {
			w.Checker.fail("LOST", "%s got no answer from %s though it ran on", id, s.addr)
		}
		if !answered {
			again(0.1)
		}
	})
	s.input(func() { s.sidecar.Submit(w.Now, o) })
}

// order is a new request of a client's.
func (w *World) order(s *Proxy, path, key string) *sidecar.Request {
	w.seq++
	id := fmt.Sprintf("q%d", w.seq)
	w.Checker.asked(s, id, path, key)
	o := &sidecar.Request{Method: "POST", Target: path, Host: "shop.example", ID: id, IdempotencyKey: key, Timeout: 1.5,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}, {Name: sidecar.HeaderIdempotencyKey, Value: key}}}
	if serviceOf(path) == shardedService {
		o.Fields = append(o.Fields, &meshpb.Field{Name: headerShardKey, Value: strconv.Itoa(w.Rand.IntN(shardKeys))})
	}
	return o
}

// AskAndLeave has a client send a request to a proxy, and close its connection after so many seconds if there is no answer by then.
func (w *World) AskAndLeave(s *Proxy, path, key string, after float64) {
	if !s.up {
		return
	}
	o := w.order(s, path, key)
	life, answered, left := s.lives, false, false
	o.ReplyTo = func(r sidecar.Reply) {
		if !left {
			answered = true
			w.Checker.answered(o.ID, r)
		}
	}
	s.input(func() { s.sidecar.Submit(w.Now, o) })
	w.After(after, func() {
		if answered || !s.up || s.lives != life {
			return
		}
		left = true
		s.input(func() {
			w.Checker.left(o.ID)
			if w.CloseUnheard {
				return
			}
			s.sidecar.ClientLeft(w.Now, o)
		})
	})
}

// Config makes a configuration: a safe and a tracked route that stay, and one route by its version.
func Config(version uint64) []byte { return ConfigVariant(version, 0) }

// ConfigVariant makes one of several configurations under one number, as two operators may.
func ConfigVariant(version uint64, variant int) []byte {
	c := routeconfig.Config{Edition: fmt.Sprintf("r%d", version),
		Itineraries: []routeconfig.Route{
			{Name: "read", Depot: "shop.example", LanePrefix: "/read/", RouteKind: routeconfig.Safe, TimeoutMs: 1200, TargetMs: 200,
				Carrier: "shop", Tries: 2},
			{Name: "pay", Depot: "shop.example", LanePrefix: "/pay/", RouteKind: routeconfig.Tracked, TimeoutMs: 1000, TargetMs: 200,
				Carrier: "till", Tries: 2},
			{Name: "stock", Depot: "shop.example", LanePrefix: "/stock/", RouteKind: routeconfig.Safe, TimeoutMs: 1200, TargetMs: 200,
				Carrier: shardedService, Tries: 2},
			{Name: "new", Depot: "shop.example", LanePrefix: fmt.Sprintf("/new%d/", version+uint64(variant)<<32), RouteKind: routeconfig.Safe, TimeoutMs: 1000,
				TargetMs: 200, Carrier: "shop", Tries: 2}},
		Carriers: []routeconfig.Service{{Name: "shop", HealthPath: "/health"}, {Name: "till", HealthPath: "/health"},
			{Name: shardedService, HealthPath: "/health", Sharded: true, WarmUpS: 2}}}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// Configure has an operator send a configuration to a control process until it is acknowledged, going to another one after
// each failure. acked is called then.
func (w *World) Configure(h int, version uint64, acked func()) {
	p := w.Servers[h%len(w.Servers)]
	done, life := false, p.lives
	next := func() {
		if !done {
			done = true
			w.After(0.1, func() { w.Configure(h+1, version, acked) })
		}
	}
	w.Checker.sent(version)
	if !p.up {
		next()
		return
	}
	w.After(1, next)
	p.input(func() {
		p.server.Order(w.Now, version, Config(version), func(result control.OrderResult) {
			if done || !p.up || p.lives != life {
				return
			}
			if result != control.OrderTaken {
				w.Checker.refused(version, result)
				next()
				return
			}
			done = true
			w.Checker.acked(version)
			if acked != nil {
				acked()
			}
		})
	})
}

// Order sends one order to one server, once. answer is called if the server lives to answer.
func (w *World) Order(to *ControlServer, version uint64, text []byte, answer func(control.OrderResult)) {
	w.Checker.sent(version)
	life := to.lives
	to.input(func() {
		to.server.Order(w.Now, version, text, func(result control.OrderResult) {
			if to.up && to.lives == life && answer != nil {
				answer(result)
			}
		})
	})
}

// ReadBack has the operator ask a control process for the configuration, and others until one answers.
func (w *World) ReadBack(h int, got func(version uint64)) {
	p := w.Servers[h%len(w.Servers)]
	done := false
	next := func() {
		if !done {
			done = true
			w.After(0.1, func() { w.ReadBack(h+1, got) })
		}
	}
	if !p.up {
		next()
		return
	}
	w.After(1, next)
	p.input(func() {
		p.server.Configuration(w.Now, func(text []byte, result control.OrderResult) {
			if done {
				return
			}
			if result != control.OrderTaken {
				next()
				return
			}
			done = true
			t, err := routeconfig.Compile(text)
			if err != nil {
				got(0)
				return
			}
			got(t.Edition)
		})
	})
}
