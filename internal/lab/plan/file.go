// Package plan reads an experiment's file and draws from its seed, before anything is started, all that will happen in the
// run: who is there, each request with its moment, class and key, and each fault with its moment and targets. The same file
// and seed give the same schedule, byte for byte. It does no I/O beyond reading the file.
package plan

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"beechwing/internal/strict"
)

// Duration is a time such as "1.5s".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// D is the duration as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }

// File is an experiment as it is written.
type File struct {
	Base   string   `toml:"base"`
	Name   string   `toml:"name"`
	Seed   uint64   `toml:"seed"`
	Span   Duration `toml:"span"`
	Settle Duration `toml:"settle"` // after the last request, for answers still under way

	Proxy   Proxy    `toml:"proxy"`
	Zones   []Zone   `toml:"zone"`
	Host    Host     `toml:"host"`
	List    List     `toml:"list"`
	Traffic Traffic  `toml:"traffic"`
	Classes []Class  `toml:"class"`
	Link    Link     `toml:"link"`
	Faults  []Fault  `toml:"fault"`
	Expect  []Expect `toml:"expect"`
}

// Proxy is what each process is told and may use.
type Proxy struct {
	Cores       float64  `toml:"cores"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	MaxAttempts int      `toml:"max_attempts"`
	Connect     Duration `toml:"connect_timeout"`
	ConnIdle    Duration `toml:"conn_idle"`
	AskWithin   Duration `toml:"ask_within"`
	Grace       Duration `toml:"grace"` // after word that a host drains
	CrossZone   float64  `toml:"cross_zone"`
	Knows       bool     `toml:"knows"`  // starts with the list as it was, else with none
	Start       string   `toml:"start"`  // "before" the traffic, settled; "with" it, all at once
	Site        string   `toml:"site"`   // text of an operator's file
	ColdAll     bool     `toml:"cold"`   // all hosts start cold, with the traffic
	Spread      Duration `toml:"spread"` // starts are spread over it
}

// Zone is a place with proxies and hosts.
type Zone struct {
	Name    string  `toml:"name"`
	Region  string  `toml:"region"`
	Proxies int     `toml:"proxies"`
	Hosts   int     `toml:"hosts"`
	Traffic float64 `toml:"traffic"` // share of all, relative to the other zones; 0: as the proxies' number
}

// Host is what hosts are like.
type Host struct {
	Cores        int      `toml:"cores"`
	Work         Duration `toml:"work"`
	CV           float64  `toml:"cv"`
	Queue        int      `toml:"queue"`
	Conns        int      `toml:"conns"`
	Handshake    Duration `toml:"handshake"`
	SlowAt       int      `toml:"slow_at"`
	SlowBy       float64  `toml:"slow_by"`
	ColdFrom     float64  `toml:"cold_from"`
	Cold         Duration `toml:"cold"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallAfter    Duration `toml:"fall_after"`
	WarmKeys     int      `toml:"warm_keys"`
	WarmShare    float64  `toml:"warm_share"`
	Restart      Duration `toml:"restart"` // until one that was pushed over is back
}

// List is the list service.
type List struct {
	Rate  float64  `toml:"rate"`
	Queue int      `toml:"queue"`
	Wait  Duration `toml:"wait"`
}

// Traffic is what callers send.
type Traffic struct {
	RPS     float64 `toml:"rps"`
	Keys    int     `toml:"keys"`
	Skew    float64 `toml:"skew"`    // exponent of the keys' popularity
	Uneven  float64 `toml:"uneven"`  // standard deviation of the logarithm of a proxy's share
	Retries int     `toml:"retries"` // of a caller after a refusal
}

// Class is a kind of request.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"` // "repeatable", "by_key", "once", as in the settings
	Group     string   `toml:"group"`
	Window    Duration `toml:"window"`
	Aim       Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`
	LateWorth float64  `toml:"late_worth"`
	Share     float64  `toml:"share"`
}

// Link is what the network is like where nothing is broken, one way.
type Link struct {
	Near   Duration `toml:"near"`   // inside a zone
	Zone   Duration `toml:"zone"`   // between zones of a region
	Region Duration `toml:"region"` // between regions
	Jitter float64  `toml:"jitter"` // as a share of those
}

// Fault is something that breaks, at a moment and for a time.
type Fault struct {
	Kind   string   `toml:"kind"`
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`   // 0: until the end
	Every  Duration `toml:"every"` // it comes again with this period
	Until  Duration `toml:"until"` // and begins no more from then on
	From   string   `toml:"from"`  // proxies, of links
	To     string   `toml:"to"`    // what breaks
	Delay  Duration `toml:"delay"`
	Bytes  int64    `toml:"bytes"`
	Factor float64  `toml:"factor"`
	Share  float64  `toml:"share"`
	Class  string   `toml:"class"`
	Step   Duration `toml:"step"` // between one target and the next
	Zone   string   `toml:"zone"` // of an operators' order
}

// Expect is what has to hold, of all or of a zone's callers, for requests due in a time.
type Expect struct {
	What  string   `toml:"what"`
	From  Duration `toml:"from"`
	To    Duration `toml:"to"` // 0: the end
	Zone  string   `toml:"zone"`
	Least *float64 `toml:"least"`
	Most  *float64 `toml:"most"`
}

// The kinds of fault: what they break, and what they need.
var kinds = map[string]struct {
	to    string // "hosts", "proxies", "list", "links" (hosts or list, from proxies), "peers" (words between proxies), "" nothing
	needs string
}{
	"silent": {"links", ""}, "silent_to": {"links", ""}, "silent_back": {"links", ""}, "refused": {"links", ""},
	"reset": {"links", ""}, "latency": {"links", "delay"}, "cut": {"links", "bytes"}, "bandwidth": {"links", "bytes"},
	"crash": {"hosts", ""}, "slow": {"hosts", "factor"}, "errors": {"hosts", "share"}, "drain": {"hosts", ""},
	"remove": {"hosts", ""},
	"kill":   {"proxies", ""}, "term": {"proxies", ""}, "stop": {"proxies", "for"}, "hup": {"proxies", ""},
	"list_down": {"list", ""}, "list_late": {"list", "delay"}, "list_stale": {"list", ""}, "list_back": {"list", ""},
	"list_torn": {"list", ""}, "load": {"", "factor"},
	"zone_out": {"proxies", "zone"}, "zone_back": {"proxies", "zone"},
	"peers_silent": {"peers", ""}, "peers_loss": {"peers", "share"}, "peers_late": {"peers", "delay"},
}

// What an expectation may be of.
var Measures = []string{"served", "refused", "failed", "late", "lost", "crossings", "calls", "fell", "regions_crossed",
	"connections", "bad_seconds"}

func defaults() File {
	return File{Seed: 1, Span: Duration(10 * time.Second), Settle: Duration(time.Second),
		Proxy: Proxy{Cores: 1, MemoryMB: 192, Sockets: 1024, MaxAttempts: 3, Connect: Duration(250 * time.Millisecond),
			ConnIdle: Duration(10 * time.Second), AskWithin: Duration(10 * time.Second), Grace: Duration(time.Second),
			CrossZone: 0.02, Knows: true, Start: "before"},
		Host: Host{Cores: 4, Work: Duration(20 * time.Millisecond), CV: 0.5, Queue: 100, Conns: 200,
			Handshake: Duration(2 * time.Millisecond), SlowAt: 12, SlowBy: 2, ColdFrom: 0.3, Cold: Duration(9 * time.Second),
			FallMultiple: 3, FallAfter: Duration(2 * time.Second), Restart: Duration(3 * time.Second)},
		List:    List{Rate: 200, Queue: 100, Wait: Duration(2 * time.Second)},
		Traffic: Traffic{RPS: 100, Keys: 1000, Skew: 0.8, Uneven: 0.5},
		Link:    Link{Jitter: 0.2}}
}

// Load reads an experiment's file. Where it names a base, a whole experiment of its own beside it, that stands for what the
// file leaves out, but for faults and expectations.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	var head struct{ Base string }
	if err := toml.Unmarshal(text, &head); err != nil || head.Base == "" {
		return Parse(path, text)
	}
	f, err := Load(filepath.Join(filepath.Dir(path), head.Base))
	if err != nil {
		return nil, err
	}
	f.Faults, f.Expect = nil, nil
	return f, strict.Decode(path, text, f, f.check)
}

// Parse reads an experiment's text; name stands for the file in errors.
func Parse(name string, text []byte) (*File, error) {
	f := defaults()
	return &f, strict.Decode(name, text, &f, f.check)
}

const mostProxies, mostHosts = 400, 250

func (f *File) check() []strict.Fault {
	c := &strict.Checker{}
	c.Add(f.Name == "", "name", "is missing")
	c.Add(f.Span < Duration(time.Second) || f.Span > Duration(time.Hour), "span", "is not from 1s to 1h")
	c.Add(f.Settle < 0, "settle", "is below 0")
	f.checkParties(c)
	f.checkTraffic(c)
	for i := range f.Faults {
		f.checkFault(c, fmt.Sprintf("fault.%d.", i), &f.Faults[i])
	}
	for i, e := range f.Expect {
		at := fmt.Sprintf("expect.%d.", i)
		c.Add(!slices.Contains(Measures, e.What), at+"what", "%q is none of %v", e.What, Measures)
		c.Add(e.Least == nil && e.Most == nil, at+"least", "is missing, and so is most")
		c.Add(e.From < 0 || e.From > f.Span, at+"from", "is not within the span")
		c.Add(e.To != 0 && e.To <= e.From, at+"to", "is not after from")
		c.Add(e.Zone != "" && f.zone(e.Zone) < 0, at+"zone", "%q is no zone", e.Zone)
	}
	return c.Faults
}

func (f *File) checkParties(c *strict.Checker) {
	proxies, hosts := 0, 0
	for i, z := range f.Zones {
		at := fmt.Sprintf("zone.%d.", i)
		c.Add(z.Name == "", at+"name", "is missing")
		c.Add(f.zone(z.Name) != i && z.Name != "", at+"name", "%q is there already", z.Name)
		c.Add(z.Proxies < 0, at+"proxies", "is below 0")
		c.Add(z.Hosts < 0, at+"hosts", "is below 0")
		c.Add(z.Traffic < 0, at+"traffic", "is below 0")
		proxies, hosts = proxies+max(0, z.Proxies), hosts+max(0, z.Hosts)
	}
	c.Add(len(f.Zones) == 0, "zone", "there is none")
	c.Add(proxies == 0 || proxies > mostProxies, "zone", "%d proxies in all, not from 1 to %d", proxies, mostProxies)
	c.Add(hosts == 0 || hosts > mostHosts, "zone", "%d hosts in all, not from 1 to %d", hosts, mostHosts)
	p, h := f.Proxy, f.Host
	c.Add(p.Start != "before" && p.Start != "with", "proxy.start", `%q is neither "before" nor "with"`, p.Start)
	c.Add(p.MemoryMB < 16, "proxy.memory_mb", "is under 16")
	c.Add(p.Sockets < 64, "proxy.sockets", "is under 64")
	c.Add(p.AskWithin <= 0, "proxy.ask_within", "is not above 0")
	c.Add(p.Grace <= 0, "proxy.grace", "is not above 0")
	c.Add(h.Cores < 1, "host.cores", "is under 1")
	c.Add(h.Work <= 0, "host.work", "is not above 0")
	c.Add(h.CV < 0, "host.cv", "is below 0")
	c.Add(h.Queue < 0, "host.queue", "is below 0")
	c.Add(h.Conns < 1, "host.conns", "is under 1")
	c.Add(h.ColdFrom <= 0 || h.ColdFrom > 1, "host.cold_from", "is not above 0 and at most 1")
	c.Add(h.WarmKeys > 0 && (h.WarmShare <= 0 || h.WarmShare > 1), "host.warm_share", "is not above 0 and at most 1")
	c.Add(f.List.Rate <= 0, "list.rate", "is not above 0")
	c.Add(f.List.Queue < 1, "list.queue", "is under 1")
	c.Add(f.Link.Jitter < 0 || f.Link.Jitter > 1, "link.jitter", "is not from 0 to 1")
}

func (f *File) checkTraffic(c *strict.Checker) {
	t := f.Traffic
	c.Add(t.RPS <= 0, "traffic.rps", "is not above 0")
	c.Add(t.RPS*f.Span.D().Seconds() > 2e6, "traffic.rps", "makes over 2 million requests in the span")
	c.Add(t.Keys < 0, "traffic.keys", "is below 0")
	c.Add(t.Skew < 0, "traffic.skew", "is below 0")
	c.Add(t.Uneven < 0 || t.Uneven > 2, "traffic.uneven", "is not from 0 to 2")
	c.Add(len(f.Classes) == 0, "class", "there is none")
	for i, k := range f.Classes {
		at := fmt.Sprintf("class.%d.", i)
		c.Add(k.Name == "", at+"name", "is missing")
		c.Add(!slices.Contains([]string{"repeatable", "by_key", "once"}, k.Effect), at+"effect",
			`%q is none of "repeatable", "by_key", "once"`, k.Effect)
		c.Add(!slices.Contains([]string{"", "all", "zone"}, k.Group), at+"group", `%q is neither "all" nor "zone"`, k.Group)
		c.Add(k.Effect == "by_key" && k.Window <= 0, at+"window", "is not above 0")
		c.Add(k.Aim <= 0, at+"aim", "is not above 0")
		c.Add(k.Deadline < k.Aim, at+"deadline", "is under aim")
		c.Add(k.Share <= 0, at+"share", "is not above 0")
	}
}

func (f *File) checkFault(c *strict.Checker, at string, b *Fault) {
	kind, known := kinds[b.Kind]
	c.Add(!known, at+"kind", "%q is no kind of fault", b.Kind)
	c.Add(b.At < 0 || b.At >= f.Span, at+"at", "is not within the span")
	c.Add(b.For < 0, at+"for", "is below 0")
	c.Add(b.Every != 0 && (b.For <= 0 || b.Every <= b.For), at+"every", "is not longer than for")
	if !known {
		return
	}
	missing := map[string]bool{"delay": b.Delay <= 0, "bytes": b.Bytes <= 0, "factor": b.Factor <= 0,
		"share": b.Share <= 0 || b.Share > 1, "for": b.For <= 0, "zone": f.zone(b.Zone) < 0}
	c.Add(kind.needs != "" && missing[kind.needs], at+kind.needs, "is missing or makes no sense")
	c.Add(b.Class != "" && f.class(b.Class) < 0, at+"class", "%q is no class", b.Class)
	party := func(field, text string, allowed ...string) {
		s, err := parseSelector(text)
		if err == nil {
			err = s.check(f)
		}
		c.Add(err != nil, at+field, "%v", err)
		c.Add(err == nil && !slices.Contains(allowed, s.kind), at+field, "%q cannot break so; %v can", text, allowed)
	}
	switch kind.to {
	case "links":
		party("to", b.To, "hosts", "list")
		if b.From != "" {
			party("from", b.From, "proxies")
		}
	case "peers":
		party("to", b.To, "proxies")
		party("from", b.From, "proxies")
	case "hosts", "proxies":
		party("to", b.To, kind.to)
	default:
		c.Add(b.To != "", at+"to", "has no meaning here")
	}
	c.Add(b.From != "" && kind.to != "links" && kind.to != "peers", at+"from", "has no meaning here")
}

func (f *File) zone(name string) int {
	return slices.IndexFunc(f.Zones, func(z Zone) bool { return z.Name == name })
}

func (f *File) class(name string) int {
	return slices.IndexFunc(f.Classes, func(k Class) bool { return k.Name == name })
}
