// Package bootstrap reads the settings file that the platform hands to every process. (The field's term: bootstrap settings.)
package bootstrap

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Variable names the environment variable that holds the file's path.
const Variable = "BEECHWING_SETTINGS"

// Settings is what a process is told. Fields of the file that it does not know are passed over: more may be added.
type Settings struct {
	NodeName    string            `toml:"nodeName"`
	Role        string            `toml:"stationRole"`
	IP          string            `toml:"ip"`
	Zone        string            `toml:"zone"`
	Region      string            `toml:"region"`
	SparePorts  []int             `toml:"sparePorts"`
	SeedDepots  []string          `toml:"seedDepots"`
	FirstStart  bool              `toml:"firstStart"`
	DataDir     string            `toml:"dataDir"`
	BeatMs      int               `toml:"beatMs"`
	BoundTexts  []string          `toml:"bounds"`
	AppAddress  string            `toml:"appAddress"`
	Carrier     string            `toml:"carrier"`
	RoutingMode string            `toml:"routingMode"`
	Zones       map[string]string `toml:"zones"`
	Docking     struct {
		Inbound  string `toml:"inboundDock"`
		Outbound string `toml:"outboundDock"`
		Ready    string `toml:"readyDock"`
		Control  string `toml:"controlDock"`
	} `toml:"docking"`
	Limits struct {
		CPUShare    float64 `toml:"cpuShare"`
		MemoryMB    int     `toml:"memoryMb"`
		LinkMbps    float64 `toml:"linkMbps"`
		FileHandles int     `toml:"fileHandles"`
		DiskMB      int     `toml:"diskMb"`
	} `toml:"sizeLimits"`
	Tolerance struct {
		Machines int `toml:"machines"`
	} `toml:"tolerance"`

	bounds map[string]float64
}

// Load reads the file that the environment names, and checks it.
func Load(getenv func(string) string) (*Settings, error) {
	path := getenv(Variable)
	if path == "" {
		return nil, errors.Newf("%s is not set: it holds the path of the settings file", Variable)
	}
	return Read(path)
}

// Read reads and checks a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	d := &Settings{}
	if err := toml.Unmarshal(text, d); err != nil {
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, col := bad.Position()
			return nil, errors.Newf("settings: %s line %d column %d, %s: %s", path, row, col,
				strings.Join(bad.Key(), "."), bad.Error())
		}
		return nil, errors.Wrapf(err, "settings: %s", path)
	}
	if err := d.check(); err != nil {
		return nil, errors.Wrapf(err, "settings: %s", path)
	}
	return d, nil
}

func (d *Settings) check() error {
	if _, err := netip.ParseAddr(d.IP); err != nil {
		return errors.Newf("ip: %q is no address", d.IP)
	}
	if d.Zone == "" {
		return errors.New("zone: is missing")
	}
	if len(d.SparePorts) < 1 || d.SparePorts[0] <= 0 || d.SparePorts[0] > 65535 {
		return errors.Newf("sparePorts: %v holds no port for what processes say to each other", d.SparePorts)
	}
	if len(d.SeedDepots) == 0 {
		return errors.New("seedDepots: names no one")
	}
	for name, addr := range map[string]string{"docking.outboundDock": d.Docking.Outbound, "docking.readyDock": d.Docking.Ready,
		"docking.controlDock": d.Docking.Control, "appAddress": d.AppAddress} {
		if addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errors.Newf("%s: %q is not address and port", name, addr)
		}
	}
	for _, seed := range d.SeedDepots {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Newf("seedDepots: %q is not address and port", seed)
		}
	}
	d.bounds = map[string]float64{}
	for _, text := range d.BoundTexts {
		name, value, _ := strings.Cut(text, "=")
		switch v, err := strconv.ParseFloat(value, 64); {
		case err == nil:
			d.bounds[name] = v
		case value == "true":
			d.bounds[name] = 1
		case value == "false":
			d.bounds[name] = 0
		default:
			return errors.Newf("bounds: %q is not name=value", text)
		}
	}
	return nil
}

// Bound is a figure of the rules, or what is taken where it is not told.
func (d *Settings) Bound(name string, otherwise float64) float64 {
	if v, told := d.bounds[name]; told {
		return v
	}
	return otherwise
}

// Span is a bound in seconds.
func (d *Settings) Span(name string, otherwise time.Duration) time.Duration {
	unit := time.Second
	if strings.HasSuffix(name, "Ms") {
		unit = time.Millisecond
	}
	return time.Duration(d.Bound(name, float64(otherwise)/float64(unit)) * float64(unit))
}

// Inner is the address at which this process is known to the others of the mesh.
func (d *Settings) Inner() string { return net.JoinHostPort(d.IP, strconv.Itoa(d.SparePorts[0])) }

// Seeds are the inner addresses of the control processes that the file names: on all machines of a day ports are the same.
func (d *Settings) Seeds() []string {
	var seeds []string
	for _, s := range d.SeedDepots {
		at, _ := netip.ParseAddrPort(s)
		seeds = append(seeds, net.JoinHostPort(at.Addr().String(), strconv.Itoa(d.SparePorts[0])))
	}
	return seeds
}
