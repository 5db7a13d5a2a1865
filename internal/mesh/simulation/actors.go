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

// heartbeatSeconds is the interval between heartbeats of a host to its proxy.
const heartbeatSeconds = 1.5

// hostInstance is one run of a host process.
type hostInstance struct {
	id           string
	sequence     uint64
	draining     bool
	drainAckedAt float64 // time at which the proxy acknowledged that the host drains; 0: not yet
	ended        bool
	silent       bool // it sends no heartbeats any more
	holds        keyHolds
	lostShare    float64 // share of requests whose response is lost after they ran
	extraSeconds float64 // additional duration of each request
}

// StartHost starts a new instance of the host.
func (s *Proxy) StartHost() {
	s.instanceCount++
	instance := &hostInstance{id: fmt.Sprintf("i-%s-%d", s.addr, s.instanceCount)}
	s.instance = instance
	var heartbeatLoop func()
	heartbeatLoop = func() {
		if s.instance != instance || instance.ended || instance.silent {
			return
		}
		s.sendHeartbeat(instance)
		s.w.After(heartbeatSeconds, heartbeatLoop)
	}
	s.w.After(0.05+0.1*s.w.Rand.Float64(), heartbeatLoop)
}

// sendHeartbeat sends a heartbeat of a host instance to the proxy, if the proxy is running.
func (s *Proxy) sendHeartbeat(instance *hostInstance) {
	instance.sequence++
	if !s.up {
		return
	}
	heartbeat := sidecar.Heartbeat{ID: instance.id, Service: s.host.Service, Zone: s.host.Zone, Slots: 4,
		Draining: instance.draining,
		Sequence: instance.sequence}
	s.input(func() {
		s.sidecar.Heartbeat(s.w.Now, heartbeat)
		if instance.draining && heartbeat.Draining && instance.drainAckedAt == 0 {
			instance.drainAckedAt = s.w.Now
		}
	})
}

// Drain makes the host announce that it drains, and end 3 s later.
func (s *Proxy) Drain() {
	instance := s.instance
	instance.draining = true
	s.sendHeartbeat(instance)
	s.w.After(3, func() {
		instance.ended = true
		s.input(func() { s.sidecar.HostSignedOff(s.w.Now, instance.id) })
	})
}

// SignOff makes the host sign off without having announced that it drains, serve on for servesSeconds and end.
func (s *Proxy) SignOff(servesSeconds float64) {
	instance := s.instance
	instance.draining = true // it answers probes accordingly
	instance.silent = true
	s.input(func() {
		s.sidecar.HostSignedOff(s.w.Now, instance.id)
		instance.drainAckedAt = s.w.Now
	})
	s.w.After(servesSeconds, func() { instance.ended = true })
}

// LateHeartbeat delivers the last heartbeat that the host sent before it began to leave.
func (s *Proxy) LateHeartbeat() {
	late := sidecar.Heartbeat{ID: s.instance.id, Service: s.host.Service, Zone: s.host.Zone, Slots: 4, Sequence: s.instance.sequence}
	s.input(func() { s.sidecar.Heartbeat(s.w.Now, late) })
}

// CrashHost ends the host without notice. The proxy goes on running.
func (s *Proxy) CrashHost() { s.instance.ended = true }

// LoseAnswers makes the host lose a share of its responses after the requests ran.
func (s *Proxy) LoseResponses(share float64) { s.instance.lostShare = share }

// hostRequest is a request that is running at a host.
type hostRequest struct{ aborted bool }

// abort closes the connection to the host, which cancels the request.
func (s *Proxy) abort(do sidecar.Abort) {
	if r := s.running[do.Job]; r != nil {
		r.aborted = true
	}
}

// exchange runs a request at the host and reports the response to the proxy.
func (s *Proxy) exchange(do sidecar.Exchange) {
	instance, incarnation := s.instance, s.starts
	forward := proto.Clone(do.Forward).(*meshpb.Forward)
	running := &hostRequest{}
	s.running[do.Job] = running
	respond := func(after float64, response *meshpb.Forwarded) {
		s.w.After(after, func() {
			if s.up && s.starts == incarnation {
				delete(s.running, do.Job)
				s.input(func() { s.sidecar.ExchangeDone(s.w.Now, do.Job, response) })
			}
		})
	}
	if instance == nil || instance.ended {
		respond(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.TurnedAway), Why: "refused", Refused: true})
		return
	}
	if instance.id != forward.Station { // the request is for another instance, so the host rejects it
		respond(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.HostTurnedAway), Why: "421"})
		return
	}
	key, sharded := shardKey(forward)
	if sharded && !instance.holds.holdsKey(s.w.Now, key) {
		respond(0.0005, &meshpb.Forwarded{Verdict: uint32(outcome.HostTurnedAway), Why: "421: not its key"})
		return
	}
	id := fieldValue(forward.Fields, sidecar.HeaderID)
	postmark := s.w.Checker.runStarted(s, instance, id, forward)
	workSeconds := instance.extraSeconds + 0.02 + 0.04*s.w.Rand.Float64()
	s.w.After(workSeconds, func() {
		if s.up && s.starts == incarnation && s.instance == instance && !instance.ended && !running.aborted {
			s.w.Checker.runFinished(s, id, forward)
		}
	})
	if s.w.Rand.Float64() < instance.lostShare {
		respond(workSeconds, &meshpb.Forwarded{Verdict: uint32(outcome.Broken), Why: "reset"})
		return
	}
	respond(workSeconds, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200, Body: []byte("body of " + postmark),
		Fields: []*meshpb.Field{{Name: sidecar.HeaderPostmark, Value: postmark}}})
}

// probe reports the ID of the running host instance to the proxy.
func (s *Proxy) probe() {
	if instance := s.instance; instance != nil && !instance.ended {
		incarnation := s.starts
		s.w.After(0.002, func() {
			if s.up && s.starts == incarnation {
				s.input(func() { s.sidecar.ProbeDone(s.w.Now, instance.id, !instance.draining) })
			}
		})
	}
}

// fieldValue returns the value of the first field with a name, or an empty string.
func fieldValue(fields []*meshpb.Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Request makes a client send a request to a proxy. A request that fails or gets no response is sent again with the same
// idempotency key, up to the given number of attempts in all.
func (w *World) Request(s *Proxy, path, key string, attempts int) {
	if !s.up {
		return
	}
	request := w.newRequest(s, path, key)
	id := request.ID
	retry := func(after float64) {
		if attempts > 1 {
			w.After(after, func() { w.Request(s, path, key, attempts-1) })
		}
	}
	incarnation, thaws, answered := s.starts, s.thaws, false
	request.ReplyTo = func(r sidecar.Reply) {
		answered = true
		w.Checker.responseReceived(id, r)
		if r.Status >= 300 && r.Status != 404 {
			retry(max(0.02, r.RetryAfter))
		}
	}
	w.After(2, func() {
		if !answered && s.up && s.starts == incarnation && !s.frozen && s.thaws == thaws {
			w.Checker.fail("LOST", "%s got no response within 2 s from %s, which was running", id, s.addr)
		}
		if !answered {
			retry(0.1)
		}
	})
	s.input(func() { s.sidecar.Submit(w.Now, request) })
}

// newRequest returns a new client request and registers it with the checker.
func (w *World) newRequest(s *Proxy, path, key string) *sidecar.Request {
	w.seq++
	id := fmt.Sprintf("q%d", w.seq)
	w.Checker.requestSent(s, id, path, key)
	request := &sidecar.Request{Method: "POST", Target: path, Host: w.spelledHost(), ID: id, IdempotencyKey: key, Timeout: 1.5,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}, {Name: sidecar.HeaderIdempotencyKey, Value: key}}}
	if serviceOf(path) == shardedService {
		request.Fields = append(request.Fields, &meshpb.Field{Name: headerShardKey,
			Value: strconv.Itoa(w.Rand.IntN(shardKeyCount))})
	}
	return request
}

// hostSpellings are ways to write the host name of all routes.
var hostSpellings = []string{"shop.example", "shop.example:8080", "Shop.Example", "SHOP.example:80"}

// spelledHost returns the host name of a request as its client writes it.
func (w *World) spelledHost() string {
	if !w.VaryHostSpelling {
		return hostSpellings[0]
	}
	return hostSpellings[w.Rand.IntN(len(hostSpellings))]
}

// RequestAndDisconnect makes a client send a request to a proxy, and close its connection if there is no response after
// afterSeconds.
func (w *World) RequestAndDisconnect(s *Proxy, path, key string, afterSeconds float64) {
	if !s.up {
		return
	}
	request := w.newRequest(s, path, key)
	incarnation, answered, disconnected := s.starts, false, false
	request.ReplyTo = func(r sidecar.Reply) {
		if !disconnected {
			answered = true
			w.Checker.responseReceived(request.ID, r)
		}
	}
	s.input(func() { s.sidecar.Submit(w.Now, request) })
	w.After(afterSeconds, func() {
		if answered || !s.up || s.starts != incarnation {
			return
		}
		disconnected = true
		s.input(func() {
			w.Checker.clientDisconnected(request.ID)
			if w.IgnoreDisconnects {
				return
			}
			s.sidecar.ClientLeft(w.Now, request)
		})
	})
}

// Config returns a configuration with safe, tracked and sharded routes that are the same in all versions, and one route that
// depends on the version.
func Config(version uint64) []byte { return ConfigVariant(version, 0) }

// ConfigVariant returns one of several different configurations with the same version, as two operators may send them.
func ConfigVariant(version uint64, variant int) []byte {
	c := routeconfig.Config{Version: fmt.Sprintf("r%d", version),
		Routes: []routeconfig.Route{
			{Name: "read", Host: "shop.example", PathPrefix: "/read/", Kind: routeconfig.Safe, TimeoutMs: 1200,
				TargetMs: 200,
				Service:  "shop", MaxAttempts: 2},
			{Name: "pay", Host: "shop.example", PathPrefix: "/pay/", Kind: routeconfig.Tracked, TimeoutMs: 1000,
				TargetMs: 200,
				Service:  "till", MaxAttempts: 2},
			{Name: "stock", Host: "shop.example", PathPrefix: "/stock/", Kind: routeconfig.Safe, TimeoutMs: 1200,
				TargetMs: 200,
				Service:  shardedService, MaxAttempts: 2},
			{Name: "new", Host: "shop.example", PathPrefix: fmt.Sprintf("/new%d/", version+uint64(variant)<<32),
				Kind: routeconfig.Safe, TimeoutMs: 1000,
				TargetMs: 200, Service: "shop", MaxAttempts: 2}},
		Services: []routeconfig.Service{{Name: "shop", HealthPath: "/health"}, {Name: "till", HealthPath: "/health"},
			{Name: shardedService, HealthPath: "/health", Sharded: true, WarmUpSeconds: 2}}}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// Configure makes an operator send a configuration to the control server at an index, and to the next one after each failure or
// timeout, until it is acknowledged. Then onAck is called, unless it is nil.
func (w *World) Configure(index int, version uint64, onAck func()) {
	server := w.Servers[index%len(w.Servers)]
	done, incarnation := false, server.starts
	tryNext := func() {
		if !done {
			done = true
			w.After(0.1, func() { w.Configure(index+1, version, onAck) })
		}
	}
	w.Checker.configSent(version)
	if !server.up {
		tryNext()
		return
	}
	w.After(1, tryNext)
	server.input(func() {
		server.server.Order(w.Now, version, Config(version), func(result control.OrderResult) {
			if done || !server.up || server.starts != incarnation {
				return
			}
			if result != control.OrderTaken {
				w.Checker.configRefused(version, result)
				tryNext()
				return
			}
			done = true
			w.Checker.configAcked(version)
			if onAck != nil {
				onAck()
			}
		})
	})
}

// SendConfig sends a configuration to one control server, once. onResult is called with the result unless the process ends
// before.
func (w *World) SendConfig(to *ControlServer, version uint64, text []byte, onResult func(control.OrderResult)) {
	w.Checker.configSent(version)
	incarnation := to.starts
	to.input(func() {
		to.server.Order(w.Now, version, text, func(result control.OrderResult) {
			if to.up && to.starts == incarnation && onResult != nil {
				onResult(result)
			}
		})
	})
}

// ReadConfig makes an operator read the configuration from the control server at an index, and from the next ones until one
// answers.
func (w *World) ReadConfig(index int, got func(version uint64)) {
	server := w.Servers[index%len(w.Servers)]
	done := false
	tryNext := func() {
		if !done {
			done = true
			w.After(0.1, func() { w.ReadConfig(index+1, got) })
		}
	}
	if !server.up {
		tryNext()
		return
	}
	w.After(1, tryNext)
	server.input(func() {
		server.server.Configuration(w.Now, func(text []byte, result control.OrderResult) {
			if done {
				return
			}
			if result != control.OrderTaken {
				tryNext()
				return
			}
			done = true
			table, err := routeconfig.Compile(text)
			if err != nil {
				got(0)
				return
			}
			got(table.Version)
		})
	})
}
