package capacity

import "time"

// Figure is one number that a fleet is measured by.
type Figure struct {
	Name string
	Unit string
	of   func(r *Result) (value float64, measured bool)
}

// Figures are all of them, in the order of the tables. "Quiet" is a fleet in which only heartbeats come; what
// an event costs is what the fleet did beyond that.
func Figures() []Figure {
	return []Figure{
		perServer("server: bytes, quiet", "KB/s", func(m *Meter) float64 { return kilobytes(m, Server) }),
		{"server: bytes, quiet, busiest", "KB/s", busiest},
		perServer("server: messages, quiet", "1/s", func(m *Meter) float64 { return messages(m, Server) }),
		perServer("server: pulls and updates, quiet", "KB/s", func(m *Meter) float64 {
			return float64(m.Kind("pull").Bytes+m.Kind("update").Bytes) / 1000
		}),
		perServer("server: digests, quiet", "KB/s", func(m *Meter) float64 {
			return 2 * float64(m.Kind("digest").Bytes) / 1000
		}),
		perServer("server: processor, quiet", "% of a core", func(m *Meter) float64 {
			return 100 * m.Took(Server).Seconds()
		}),
		perServer("server: disk syncs, quiet", "1/s", func(m *Meter) float64 { return float64(m.Syncs) }),
		memoryOf("server: live heap", func(m Memory) float64 { return m.Server }),
		perProxy("proxy: bytes, quiet", "KB/s", func(m *Meter) float64 { return kilobytes(m, Proxy) }),
		perProxy("proxy: messages, quiet", "1/s", func(m *Meter) float64 { return messages(m, Proxy) }),
		perProxy("proxy: processor, quiet", "% of a core", func(m *Meter) float64 {
			return 100 * m.Took(Proxy).Seconds()
		}),
		perProxy("proxy: processor of ticks, quiet", "% of a core", func(m *Meter) float64 {
			return 100 * m.Work[Input{Proxy, "tick"}].Took.Seconds()
		}),
		memoryOf("proxy: live heap", func(m Memory) float64 { return m.Proxy }),
		perEvent("change", "change: bytes of a proxy", "KB", func(r *Result, m *Meter) float64 {
			return kilobytes(m, Proxy) / proxies(r)
		}),
		perEvent("change", "change: bytes of a server", "KB", func(r *Result, m *Meter) float64 {
			return kilobytes(m, Server) / servers(r)
		}),
		perEvent("change", "change: processor of a proxy", "ms", func(r *Result, m *Meter) float64 {
			return millis(m.Took(Proxy)) / proxies(r)
		}),
		perEvent("change", "change: processor of a server", "ms", func(r *Result, m *Meter) float64 {
			return millis(m.Took(Server)) / servers(r)
		}),
		perEvent("change", "change: disk syncs of a server", "", func(r *Result, m *Meter) float64 {
			return float64(m.Syncs) / servers(r)
		}),
		settled("change", "change: in force everywhere"),
		perEvent("restart", "restart: bytes of a proxy", "KB", func(r *Result, m *Meter) float64 {
			return kilobytes(m, Proxy) / proxies(r)
		}),
		perEvent("restart", "restart: bytes of a server", "KB", func(r *Result, m *Meter) float64 {
			return kilobytes(m, Server) / servers(r)
		}),
		settled("restart", "restart: known everywhere after its start"),
		settled("replacement", "replacement: known everywhere"),
		withCalls("server: bytes, with calls", "KB/s", servers, func(m *Meter) float64 {
			return kilobytes(m, Server)
		}),
		withCalls("server: messages, with calls", "1/s", servers, func(m *Meter) float64 {
			return messages(m, Server)
		}),
		withCalls("server: processor, with calls", "% of a core", servers, func(m *Meter) float64 {
			return 100 * m.Took(Server).Seconds()
		}),
		withCalls("server: disk syncs, with calls", "1/s", servers, func(m *Meter) float64 {
			return float64(m.Syncs)
		}),
		withCalls("proxy: bytes, with calls", "KB/s", proxies, func(m *Meter) float64 {
			return kilobytes(m, Proxy)
		}),
		withCalls("proxy: processor, with calls", "% of a core", proxies, func(m *Meter) float64 {
			return 100 * m.Took(Proxy).Seconds()
		}),
		perEvent("calls", "call: bytes, all proxies", "KB", func(_ *Result, m *Meter) float64 {
			return float64(m.Kind("forward").Bytes+m.Kind("forwarded").Bytes) / 1000
		}),
		perEvent("calls", "call: processor as caller", "us", func(_ *Result, m *Meter) float64 {
			return micros(m, Proxy, "call", "forwarded")
		}),
		perEvent("calls", "call: processor as gate", "us", func(_ *Result, m *Meter) float64 {
			return micros(m, Proxy, "forward", "exchanged", "claimed")
		}),
		perEvent("calls", "call: processor of messages", "us", func(_ *Result, m *Meter) float64 {
			return micros(m, Proxy, "encode", "decode")
		}),
		perClaim("claim: bytes between servers", "KB", func(m *Meter) float64 {
			asked := m.Kind("prepare").Bytes + m.Kind("promise").Bytes
			return float64(asked+m.Kind("accept").Bytes+m.Kind("accepted").Bytes) / 1000
		}),
		perClaim("claim: processor of all servers", "us", func(m *Meter) float64 {
			return micros(m, Server, everything...)
		}),
		perClaim("claim: disk syncs of all servers", "", func(m *Meter) float64 { return float64(m.Syncs) }),
	}
}

// everything a server does for claims.
var everything = []string{"claim", "settle", "accept", "accepted", "prepare", "promise", "synced", "own",
	"encode", "decode"}

// Value is a figure of a fleet; false: the phase that it comes from was not played.
func (f Figure) Value(r *Result) (float64, bool) { return f.of(r) }

func proxies(r *Result) float64 { return float64(r.Options.Proxies) }
func servers(r *Result) float64 { return float64(r.Options.Servers) }

func kilobytes(m *Meter, role Role) float64 {
	return float64(m.Sent(role).Bytes+m.Received(role).Bytes) / 1000
}

func messages(m *Meter, role Role) float64 {
	return float64(m.Sent(role).Messages + m.Received(role).Messages)
}

func millis(took time.Duration) float64 { return took.Seconds() * 1e3 }

func micros(m *Meter, role Role, inputs ...string) (sum float64) {
	for _, name := range inputs {
		sum += m.Work[Input{role, name}].Took.Seconds() * 1e6
	}
	return sum
}

// memoryOf is the live heap of one process.
func memoryOf(name string, of func(m Memory) float64) Figure {
	return Figure{name, "MB", func(r *Result) (float64, bool) { return of(r.Memory) / megabyte, true }}
}

// perServer is a rate of one control server in the quiet fleet.
func perServer(name, unit string, of func(m *Meter) float64) Figure {
	return Figure{name, unit, func(r *Result) (float64, bool) { return quietRate(r, servers(r), of) }}
}

// perProxy is a rate of one proxy in the quiet fleet.
func perProxy(name, unit string, of func(m *Meter) float64) Figure {
	return Figure{name, unit, func(r *Result) (float64, bool) { return quietRate(r, proxies(r), of) }}
}

func quietRate(r *Result, processes float64, of func(m *Meter) float64) (float64, bool) {
	quiet := r.Phase("quiet")
	if quiet == nil {
		return 0, false
	}
	return of(quiet.Cost) / quiet.Cost.Seconds / processes, true
}

// withCalls is a rate of one process while hosts call each other at the plan's rate.
func withCalls(name, unit string, processes func(*Result) float64, of func(m *Meter) float64) Figure {
	return Figure{name, unit, func(r *Result) (float64, bool) {
		p := r.Phase("calls")
		if p == nil {
			return 0, false
		}
		return of(p.Cost) / p.Cost.Seconds / processes(r), true
	}}
}

func busiest(r *Result) (float64, bool) {
	quiet := r.Phase("quiet")
	if quiet == nil {
		return 0, false
	}
	return float64(quiet.Busiest.Bytes) / 1000 / quiet.Cost.Seconds, true
}

// perEvent is what one event of a phase costs beyond the quiet fleet.
func perEvent(phase, name, unit string, of func(r *Result, m *Meter) float64) Figure {
	return Figure{name, unit, func(r *Result) (float64, bool) {
		p, quiet := r.Phase(phase), r.Phase("quiet")
		if p == nil || quiet == nil || p.Events == 0 {
			return 0, false
		}
		idle := of(r, quiet.Cost) / quiet.Cost.Seconds * p.Cost.Seconds
		return (of(r, p.Cost) - idle) / float64(p.Events), true
	}}
}

// perClaim is what one claim and the settling of it cost beyond the quiet fleet.
func perClaim(name, unit string, of func(m *Meter) float64) Figure {
	return Figure{name, unit, func(r *Result) (float64, bool) {
		p, quiet := r.Phase("calls"), r.Phase("quiet")
		if p == nil || quiet == nil || p.Cost.Kind("claim").Messages == 0 {
			return 0, false
		}
		idle := of(quiet.Cost) / quiet.Cost.Seconds * p.Cost.Seconds
		return (of(p.Cost) - idle) / float64(p.Cost.Kind("claim").Messages), true
	}}
}

// settled is how long the slowest event of a phase took until all acted rightly.
func settled(phase, name string) Figure {
	return Figure{name, "s", func(r *Result) (float64, bool) {
		p := r.Phase(phase)
		if p == nil || !p.Complete {
			return 0, false
		}
		return p.Settled, true
	}}
}
