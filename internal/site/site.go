// Package site reads the operator's file: what an operator sets beside what the platform tells. It knows no sockets and
// starts nothing. A file is read whole or refused whole, with every fault named by file, line and field.
package site

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"beechwing/internal/strict"
)

// File is an operator's file with defaults in place.
type File struct {
	Connections Connections `toml:"connections"`
	Failover    Failover    `toml:"failover"`
	Members     Members     `toml:"members"`
	Regions     []Region    `toml:"region"`
}

// Failover is the table of moving traffic between zones.
type Failover struct {
	// Mode is who decides it: "off" (each pick by itself, as on the platform), "alone" (this proxy, from what it sees), or
	// "common" (all members of its fleet).
	Mode string `toml:"mode"`
}

// Members is the table of the fleet that a proxy belongs to, for decisions in common.
type Members struct {
	// Fleet is its name; proxies of another one are strangers.
	Fleet string `toml:"fleet"`
	// Listen is this proxy's address for words between members, UDP and TCP.
	Listen string `toml:"listen"`
	// Advertise is the address by which others reach it; empty: Listen.
	Advertise string `toml:"advertise"`
	// Seeds are addresses of members, some of which are there when it starts.
	Seeds []string `toml:"seeds"`
	// KeyFile holds keys, one a line in base64, the one in use first. Only its owner may read it. Empty: words are in clear.
	KeyFile string `toml:"key_file"`
}

// Region is zones that lie near each other.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// The values of Failover.Mode.
const (
	Off    = "off"
	Alone  = "alone"
	Common = "common"
)

// Connections is the table of callers' connections.
type Connections struct {
	// Callers is what counts as one caller: "application" (all connections are one application's, as on the platform) or
	// "address" (each source address is a caller of its own, as desk tools are).
	Callers string `toml:"callers"`
	// Limit bounds the connections held; 0: as many as descriptors and memory allow.
	Limit int `toml:"limit"`
	// Idle is how long a connection may stay between two requests while at most half of the limit is used.
	Idle Duration `toml:"idle"`
	// IdleFull is the same with all of the limit used; in between it falls in proportion.
	IdleFull Duration `toml:"idle_full"`
	// First is the time for a new connection to bring its first request whole.
	First Duration `toml:"first"`
}

// The values of Connections.Callers.
const (
	Application = "application"
	Address     = "address"
)

// Duration is a time such as "30s" or "8h".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Default is what holds without a file.
func Default() File {
	return File{
		Connections: Connections{Callers: Application, Idle: Duration(30 * time.Second), IdleFull: Duration(2 * time.Second),
			First: Duration(2500 * time.Millisecond)},
		Failover: Failover{Mode: Off}, Members: Members{Seeds: []string{}},
	}
}

// Load reads the file at path.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text. name stands for the file in errors, which are joined, one a line.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	if err := strict.Decode(name, text, &f, func() []strict.Fault { return f.check() }); err != nil {
		return File{}, err
	}
	return f, nil
}

// Region is the name of a zone's region; zones that no region names share one.
func (f File) Region(zone string) string {
	for _, r := range f.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

func (f File) check() []strict.Fault {
	c := &strict.Checker{}
	f.Connections.check(c)
	f.checkZones(c)
	return c.Faults
}

func (f File) checkZones(c *strict.Checker) {
	modes := []string{Off, Alone, Common}
	c.Add(!slices.Contains(modes, f.Failover.Mode), "failover.mode", "%q is none of %q", f.Failover.Mode, modes)
	if m := f.Members; f.Failover.Mode == Common {
		c.Add(m.Fleet == "" || len(m.Fleet) > 255, "members.fleet", "is missing or longer than 255 bytes, and failover.mode is %q", Common)
		c.Add(!address(m.Listen), "members.listen", "%q is no address with a port", m.Listen)
		c.Add(m.Advertise != "" && !address(m.Advertise), "members.advertise", "%q is no address with a port", m.Advertise)
		for _, seed := range m.Seeds {
			c.Add(!address(seed), "members.seeds", "%q is no address with a port", seed)
		}
	}
	region := map[string]string{}
	names := map[string]bool{}
	for i, r := range f.Regions {
		at := fmt.Sprintf("region.%d.", i)
		c.Add(r.Name == "", at+"name", "is missing")
		c.Add(r.Name != "" && names[r.Name], at+"name", "%q is there already", r.Name)
		c.Add(len(r.Zones) == 0, at+"zones", "names none")
		names[r.Name] = true
		for _, z := range r.Zones {
			c.Add(region[z] != "", at+"zones", "%q is in region %q already", z, region[z])
			region[z] = r.Name
		}
	}
}

// address says whether a text is an IP address with a port.
func address(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

func (c Connections) check(k *strict.Checker) {
	k.Add(c.Callers != Application && c.Callers != Address, "connections.callers",
		"%q is neither %q nor %q", c.Callers, Application, Address)
	k.Add(c.Limit < 0, "connections.limit", "is below 0; leave it out for as many as the machine allows")
	k.Add(c.Idle < Duration(2*time.Second), "connections.idle", "is under 2s; callers would lose connections that they are about to use")
	k.Add(c.IdleFull <= 0 || c.IdleFull > c.Idle, "connections.idle_full", "is not above 0 and at most idle")
	k.Add(c.First <= 0 || c.First > Duration(time.Minute), "connections.first", "is not above 0 and at most 1m")
}
