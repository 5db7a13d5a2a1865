// Package plan reads the file of a fleet experiment and generates the schedule of a run from it and a seed. Load returns a
// File, and File.Draw generates its Schedule before anything is started: the proxies and hosts, each request with its time,
// class and key, and each fault with its time and targets. The same file and seed give the same schedule, byte for byte. The
// package does no I/O beyond reading the file. The package internal/lab/rig runs schedules.
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

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads the text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// File is the content of an experiment's file.
type File struct {
	Base   string   `toml:"base"` // file beside this one with the defaults; see Load
	Name   string   `toml:"name"`
	Seed   uint64   `toml:"seed"`
	Span   Duration `toml:"span"`
	Settle Duration `toml:"settle"` // wait after the last request for answers still in flight

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

// Proxy holds the settings and the resource limits of each proxy process.
type Proxy struct {
	Cores       float64  `toml:"cores"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	MaxAttempts int      `toml:"max_attempts"`
	Connect     Duration `toml:"connect_timeout"`
	ConnIdle    Duration `toml:"conn_idle"`
	AskWithin   Duration `toml:"ask_within"` // time after a change within which the proxy has asked for the list
	Grace       Duration `toml:"grace"`      // time to stop sending after learning that a host drains
	CrossZone   float64  `toml:"cross_zone"`
	Knows       bool     `toml:"knows"`  // starts with its last known host list, else with none
	Start       string   `toml:"start"`  // "before": ready before traffic starts; "with": started along with it
	Site        string   `toml:"site"`   // text of the operators' configuration file
	ColdAll     bool     `toml:"cold"`   // all hosts are cold when traffic starts
	Spread      Duration `toml:"spread"` // process starts are spread over this time
}

// Zone is a zone with its numbers of proxies and hosts.
type Zone struct {
	Name    string  `toml:"name"`
	Region  string  `toml:"region"`
	Proxies int     `toml:"proxies"`
	Hosts   int     `toml:"hosts"`
	Traffic float64 `toml:"traffic"` // weight against the other zones; 0: the number of proxies
}

// Host describes the simulated hosts.
type Host struct {
	Cores        int      `toml:"cores"`
	Work         Duration `toml:"work"`      // mean work of a request
	CV           float64  `toml:"cv"`        // coefficient of variation of the work
	Queue        int      `toml:"queue"`     // requests that may wait; more are rejected
	Conns        int      `toml:"conns"`     // connections held; more are rejected
	Handshake    Duration `toml:"handshake"` // extra work of the first request on a connection
	SlowAt       int      `toml:"slow_at"`   // queue length from which work takes SlowBy times as long
	SlowBy       float64  `toml:"slow_by"`
	ColdFrom     float64  `toml:"cold_from"`     // share of the capacity right after a start
	Cold         Duration `toml:"cold"`          // time from a start to full capacity
	FallMultiple float64  `toml:"fall_multiple"` // a cold host goes down at this multiple of its capacity
	FallAfter    Duration `toml:"fall_after"`    // time over which the load is averaged for that
	WarmKeys     int      `toml:"warm_keys"`     // number of recent keys in the host's cache
	WarmShare    float64  `toml:"warm_share"`    // work of a request with a cached key, as a share of the usual
	Restart      Duration `toml:"restart"`       // time until a host that went down from overload restarts
}

// List describes the list service, which tells proxies the hosts.
type List struct {
	Rate  float64  `toml:"rate"`  // calls handled a second
	Queue int      `toml:"queue"` // calls that may wait; more fail at once
	Wait  Duration `toml:"wait"`  // a call that has waited for this time fails
}

// Traffic describes the requests of all callers together.
type Traffic struct {
	RPS     float64 `toml:"rps"`
	Keys    int     `toml:"keys"`
	Skew    float64 `toml:"skew"`    // exponent of the power law of the keys' popularity
	Uneven  float64 `toml:"uneven"`  // standard deviation of the logarithm of a proxy's share of its zone
	Retries int     `toml:"retries"` // how often a caller retries a refused request
}

// Class is a request class with its latency targets.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"` // "repeatable", "by_key", "once", as in the settings
	Group     string   `toml:"group"`  // hosts among which repeats of a key are dropped: "", "all" or "zone"
	Window    Duration `toml:"window"` // time for which repeats of a key are dropped
	Aim       Duration `toml:"aim"`    // target latency
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`      // value of an answer within the aim
	LateWorth float64  `toml:"late_worth"` // value of a later answer
	Share     float64  `toml:"share"`      // of the requests, relative to the other classes
}

// Link holds the one-way network latencies without faults.
type Link struct {
	Near   Duration `toml:"near"`   // inside a zone
	Zone   Duration `toml:"zone"`   // between zones of a region
	Region Duration `toml:"region"` // between regions
	Jitter float64  `toml:"jitter"` // as a share of the latency
}

// Fault is a fault to inject, with its time and duration.
type Fault struct {
	Kind   string   `toml:"kind"`
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`   // 0: until the end of the run
	Every  Duration `toml:"every"` // period of repetition; 0: the fault occurs once
	Until  Duration `toml:"until"` // no repetition begins from this time on; 0: the end
	From   string   `toml:"from"`  // proxies at one end of the links
	To     string   `toml:"to"`    // targets; see selector
	Delay  Duration `toml:"delay"`
	Bytes  int64    `toml:"bytes"`  // for "cut", after which a connection is reset; for "bandwidth", a second
	Factor float64  `toml:"factor"` // by which work or load is multiplied
	Share  float64  `toml:"share"`  // of requests that fail, or of messages that are lost
	Class  string   `toml:"class"`  // of the requests that fail; empty: all classes
	Step   Duration `toml:"step"`   // delay between one target and the next
	Zone   string   `toml:"zone"`   // zone of an operators' order
}

// Expect is a bound on a measure, over the requests that all callers or those of one zone send within a time range.
type Expect struct {
	What  string   `toml:"what"` // one of Measures
	From  Duration `toml:"from"`
	To    Duration `toml:"to"` // 0: the end of the run
	Zone  string   `toml:"zone"`
	Least *float64 `toml:"least"`
	Most  *float64 `toml:"most"`
}

// faultKinds maps each kind of fault to its kind of target and the field that the kind requires.
var faultKinds = map[string]struct {
	// target is "hosts", "proxies", "list", "links" (between proxies and hosts or the list service), "peers" (links between
	// proxies), or "" for a fault without a target.
	target string
	needs  string // required field of Fault; empty: none
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

// Measures lists the figures that an expectation can bound.
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

// Load reads an experiment's file. A file can name a base, which is a complete experiment in the same folder. Settings that the
// file leaves out are taken from the base, except for faults and expectations.
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

// Parse reads the text of an experiment. Errors name the file by name.
func Parse(name string, text []byte) (*File, error) {
	f := defaults()
	return &f, strict.Decode(name, text, &f, f.check)
}

const maxProxies, maxHosts = 400, 250

// check returns all mistakes in the file.
func (f *File) check() []strict.Fault {
	c := &strict.Checker{}
	c.Add(f.Name == "", "name", "is missing")
	c.Add(f.Span < Duration(time.Second) || f.Span > Duration(time.Hour), "span", "is not from 1s to 1h")
	c.Add(f.Settle < 0, "settle", "is below 0")
	f.checkZonesAndHosts(c)
	f.checkTraffic(c)
	for i := range f.Faults {
		f.checkFault(c, fmt.Sprintf("fault.%d.", i), &f.Faults[i])
	}
	for i, e := range f.Expect {
		at := fmt.Sprintf("expect.%d.", i)
		c.Add(!slices.Contains(Measures, e.What), at+"what", "%q is none of %v", e.What, Measures)
		c.Add(e.Least == nil && e.Most == nil, at+"least", "is missing, and most is missing too")
		c.Add(e.From < 0 || e.From > f.Span, at+"from", "is not within the span")
		c.Add(e.To != 0 && e.To <= e.From, at+"to", "is not after from")
		c.Add(e.Zone != "" && f.zone(e.Zone) < 0, at+"zone", "%q is not a zone of the experiment", e.Zone)
	}
	return c.Faults
}

func (f *File) checkZonesAndHosts(c *strict.Checker) {
	proxies, hosts := 0, 0
	for i, z := range f.Zones {
		at := fmt.Sprintf("zone.%d.", i)
		c.Add(z.Name == "", at+"name", "is missing")
		c.Add(f.zone(z.Name) != i && z.Name != "", at+"name", "%q is defined more than once", z.Name)
		c.Add(z.Proxies < 0, at+"proxies", "is below 0")
		c.Add(z.Hosts < 0, at+"hosts", "is below 0")
		c.Add(z.Traffic < 0, at+"traffic", "is below 0")
		proxies, hosts = proxies+max(0, z.Proxies), hosts+max(0, z.Hosts)
	}
	c.Add(len(f.Zones) == 0, "zone", "at least one is required")
	c.Add(proxies == 0 || proxies > maxProxies, "zone", "%d proxies in all, not from 1 to %d", proxies, maxProxies)
	c.Add(hosts == 0 || hosts > maxHosts, "zone", "%d hosts in all, not from 1 to %d", hosts, maxHosts)
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
	c.Add(len(f.Classes) == 0, "class", "at least one is required")
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

func (f *File) checkFault(c *strict.Checker, at string, fault *Fault) {
	kind, known := faultKinds[fault.Kind]
	c.Add(!known, at+"kind", "%q is not a known kind of fault", fault.Kind)
	c.Add(fault.At < 0 || fault.At >= f.Span, at+"at", "is not within the span")
	c.Add(fault.For < 0, at+"for", "is below 0")
	c.Add(fault.Every != 0 && (fault.For <= 0 || fault.Every <= fault.For), at+"every", "is not longer than for")
	if !known {
		return
	}
	missing := map[string]bool{"delay": fault.Delay <= 0, "bytes": fault.Bytes <= 0, "factor": fault.Factor <= 0,
		"share": fault.Share <= 0 || fault.Share > 1, "for": fault.For <= 0, "zone": f.zone(fault.Zone) < 0}
	c.Add(kind.needs != "" && missing[kind.needs], at+kind.needs, "is missing or out of range")
	c.Add(fault.Class != "" && f.class(fault.Class) < 0, at+"class", "%q is not a class of the experiment", fault.Class)
	checkSelector := func(field, text string, allowed ...string) {
		s, err := parseSelector(text)
		if err == nil {
			err = s.check(f)
		}
		c.Add(err != nil, at+field, "%v", err)
		c.Add(err == nil && !slices.Contains(allowed, s.kind), at+field,
			"%q cannot be selected for this kind of fault; allowed are %v", text, allowed)
	}
	switch kind.target {
	case "links":
		checkSelector("to", fault.To, "hosts", "list")
		if fault.From != "" {
			checkSelector("from", fault.From, "proxies")
		}
	case "peers":
		checkSelector("to", fault.To, "proxies")
		checkSelector("from", fault.From, "proxies")
	case "hosts", "proxies":
		checkSelector("to", fault.To, kind.target)
	default:
		c.Add(fault.To != "", at+"to", "does not apply to this kind of fault")
	}
	c.Add(fault.From != "" && kind.target != "links" && kind.target != "peers", at+"from", "does not apply to this kind of fault")
}

// zone returns the index of the named zone, or -1.
func (f *File) zone(name string) int {
	return slices.IndexFunc(f.Zones, func(z Zone) bool { return z.Name == name })
}

// class returns the index of the named class, or -1.
func (f *File) class(name string) int {
	return slices.IndexFunc(f.Classes, func(k Class) bool { return k.Name == name })
}
