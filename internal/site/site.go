// Package site reads the operator's file, a TOML file with the settings of a proxy that an operator chooses; the platform
// provides the others. Load reads a file into File and fills in the defaults. A file with any error is rejected as a whole, and
// the error names every fault by file, line and field. The package opens no sockets and starts no goroutines.
package site

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"beechwing/internal/strict"
)

// File is the content of an operator's file, with defaults for the missing fields.
type File struct {
	Connections Connections `toml:"connections"`
	Failover    Failover    `toml:"failover"`
	Members     Members     `toml:"members"`
	Regions     []Region    `toml:"region"`
}

// Failover is the table that configures how traffic moves between zones.
type Failover struct {
	// Mode selects who decides which zones are used: "off" (nobody; the balancer weighs zones for each request, as on the
	// platform), "alone" (this proxy, from its own observations), or "common" (all members of its fleet together).
	Mode string `toml:"mode"`
}

// Members is the table that configures the fleet of a proxy. It is used if Failover.Mode is "common".
type Members struct {
	// Fleet is the name of the fleet. Proxies of other fleets are ignored.
	Fleet string `toml:"fleet"`
	// Listen is this proxy's address for messages between members, over UDP and TCP.
	Listen string `toml:"listen"`
	// Advertise is the address at which other members reach this proxy; empty: Listen.
	Advertise string `toml:"advertise"`
	// Seeds are addresses of members. At least one of them should be running when this proxy starts.
	Seeds []string `toml:"seeds"`
	// KeyFile names a file of base64 keys, one per line, starting with the key in use. Only the file's owner may have read
	// permission. If empty, messages are not encrypted.
	KeyFile string `toml:"key_file"`
}

// Region is a named group of zones that are close to each other.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// The values of Failover.Mode.
const (
	FailoverOff    = "off"
	FailoverAlone  = "alone"
	FailoverCommon = "common"
)

// Connections is the table that limits the connections of callers, the clients of the proxy.
type Connections struct {
	// Callers defines one caller: "application" (all connections belong to one application, as on the platform) or "address"
	// (each source address is a separate caller, as with desktop tools).
	Callers string `toml:"callers"`
	// Limit is the maximum number of open connections; 0: as many as file descriptors and memory allow.
	Limit int `toml:"limit"`
	// Idle is the idle timeout of a connection between two requests while at most half of the limit is used.
	Idle Duration `toml:"idle"`
	// IdleFull is the idle timeout when all of the limit is used. Between half and all of the limit, the timeout falls linearly.
	IdleFull Duration `toml:"idle_full"`
	// First is the time within which a new connection must deliver its complete first request.
	First Duration `toml:"first"`
}

// The values of Connections.Callers.
const (
	CallersApplication = "application"
	CallersAddress     = "address"
)

// Duration is a time.Duration that is written as "30s" or "8h".
type Duration time.Duration

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Default returns the settings that apply without a file.
func Default() File {
	return File{
		Connections: Connections{Callers: CallersApplication, Idle: Duration(30 * time.Second), IdleFull: Duration(2 * time.Second),
			First: Duration(2500 * time.Millisecond)},
		Failover: Failover{Mode: FailoverOff}, Members: Members{Seeds: []string{}},
	}
}

// Load reads and checks the file at path.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file. Errors use name for the file and are joined, one per line.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	if err := strict.Decode(name, text, &f, func() []strict.Fault { return f.check() }); err != nil {
		return File{}, err
	}
	return f, nil
}

// Region returns the name of a zone's region. Zones that belong to no region share the unnamed one.
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

// checkZones checks the tables that concern failover between zones.
func (f File) checkZones(c *strict.Checker) {
	modes := []string{FailoverOff, FailoverAlone, FailoverCommon}
	c.Add(!slices.Contains(modes, f.Failover.Mode), "failover.mode", "%q is not one of %q", f.Failover.Mode, modes)
	if m := f.Members; f.Failover.Mode == FailoverCommon {
		c.Add(m.Fleet == "" || len(m.Fleet) > 255, "members.fleet",
			"is missing or longer than 255 bytes, but failover.mode %q needs a fleet name", FailoverCommon)
		c.Add(!isAddrPort(m.Listen), "members.listen", "%q is not an IP address with a port", m.Listen)
		c.Add(m.Advertise != "" && !isAddrPort(m.Advertise), "members.advertise", "%q is not an IP address with a port", m.Advertise)
		for _, seed := range m.Seeds {
			c.Add(!isAddrPort(seed), "members.seeds", "%q is not an IP address with a port", seed)
		}
	}
	region := map[string]string{}
	names := map[string]bool{}
	for i, r := range f.Regions {
		at := fmt.Sprintf("region.%d.", i)
		c.Add(r.Name == "", at+"name", "is missing")
		c.Add(r.Name != "" && names[r.Name], at+"name", "%q is the name of an earlier region", r.Name)
		c.Add(len(r.Zones) == 0, at+"zones", "is missing or empty")
		names[r.Name] = true
		for _, z := range r.Zones {
			c.Add(region[z] != "", at+"zones", "%q is already in region %q", z, region[z])
			region[z] = r.Name
		}
	}
}

// isAddrPort reports whether text is an IP address with a port other than 0.
func isAddrPort(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}

func (c Connections) check(k *strict.Checker) {
	k.Add(c.Callers != CallersApplication && c.Callers != CallersAddress, "connections.callers",
		"%q is neither %q nor %q", c.Callers, CallersApplication, CallersAddress)
	k.Add(c.Limit < 0, "connections.limit", "is negative; omit the field to allow as many connections as the machine supports")
	k.Add(c.Idle < Duration(2*time.Second), "connections.idle",
		"is less than 2s; callers would lose connections that they are about to use")
	k.Add(c.IdleFull <= 0 || c.IdleFull > c.Idle, "connections.idle_full", "is not positive or is greater than connections.idle")
	k.Add(c.First <= 0 || c.First > Duration(time.Minute), "connections.first", "is not positive or is greater than 1m")
}
