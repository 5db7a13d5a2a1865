// Package bootstrap reads the settings file that the platform gives to every process.
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

// Settings is the settings file, with the platform's names. Unknown fields are ignored, as more may be added.
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
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, col := bad.Position()
			return nil, errors.Newf("settings: %s line %d column %d, %s: %s", path, row, col,
				strings.Join(bad.Key(), "."), bad.Error())
		}
		return nil, errors.Wrapf(err, "settings: %s", path)
	}
	if err := s.check(); err != nil {
		return nil, errors.Wrapf(err, "settings: %s", path)
	}
	return s, nil
}

func (s *Settings) check() error {
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return errors.Newf("ip: %q is no address", s.IP)
	}
	if s.Zone == "" {
		return errors.New("zone: is missing")
	}
	if len(s.SparePorts) < 1 || s.SparePorts[0] <= 0 || s.SparePorts[0] > 65535 {
		return errors.Newf("sparePorts: %v holds no port for what processes say to each other", s.SparePorts)
	}
	if len(s.SeedDepots) == 0 {
		return errors.New("seedDepots: names no one")
	}
	for name, addr := range map[string]string{"docking.outboundDock": s.Docking.Outbound, "docking.readyDock": s.Docking.Ready,
		"docking.controlDock": s.Docking.Control, "appAddress": s.AppAddress} {
		if addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errors.Newf("%s: %q is not address and port", name, addr)
		}
	}
	for _, seed := range s.SeedDepots {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Newf("seedDepots: %q is not address and port", seed)
		}
	}
	s.bounds = map[string]float64{}
	for _, text := range s.BoundTexts {
		name, value, _ := strings.Cut(text, "=")
		switch v, err := strconv.ParseFloat(value, 64); {
		case err == nil:
			s.bounds[name] = v
		case value == "true":
			s.bounds[name] = 1
		case value == "false":
			s.bounds[name] = 0
		default:
			return errors.Newf("bounds: %q is not name=value", text)
		}
	}
	return nil
}

// Bound is a number among the bounds, or otherwise if the file has none of that name.
func (s *Settings) Bound(name string, otherwise float64) float64 {
	if v, told := s.bounds[name]; told {
		return v
	}
	return otherwise
}

// Span is a bound as a duration: in milliseconds if its name ends in Ms, else in seconds.
func (s *Settings) Span(name string, otherwise time.Duration) time.Duration {
	unit := time.Second
	if strings.HasSuffix(name, "Ms") {
		unit = time.Millisecond
	}
	return time.Duration(s.Bound(name, float64(otherwise)/float64(unit)) * float64(unit))
}

// Inner is the address at which the other processes of the mesh reach this one.
func (s *Settings) Inner() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.SparePorts[0])) }

// Seeds are the inner addresses of the control processes that the file names. All machines use the same ports.
func (s *Settings) Seeds() []string {
	var seeds []string
	for _, text := range s.SeedDepots {
		at, _ := netip.ParseAddrPort(text)
		seeds = append(seeds, net.JoinHostPort(at.Addr().String(), strconv.Itoa(s.SparePorts[0])))
	}
	return seeds
}
