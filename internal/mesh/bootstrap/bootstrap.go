// Package bootstrap reads the settings file (TOML) with which the platform starts every process of the mesh: its addresses and
// ports, the control servers, resource limits and named parameters. Load reads the file that the environment names, as Settings.
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

// EnvVariable is the environment variable that holds the path of the settings file.
const EnvVariable = "BEECHWING_SETTINGS"

// Settings is the content of the settings file. The TOML names are those of the platform. Unknown fields are ignored because the
// platform may add some.
type Settings struct {
	NodeName       string            `toml:"nodeName"`
	Role           string            `toml:"stationRole"`
	IP             string            `toml:"ip"`
	Zone           string            `toml:"zone"`
	Region         string            `toml:"region"`
	SparePorts     []int             `toml:"sparePorts"` // first and last of a range; the first is for the mesh protocol
	SeedAddresses  []string          `toml:"seedDepots"` // control addresses of the first control servers to contact
	FirstStart     bool              `toml:"firstStart"` // the mesh is started for the first time
	DataDir        string            `toml:"dataDir"`
	HeartbeatMs    int               `toml:"beatMs"`
	ParameterTexts []string          `toml:"bounds"`     // named parameters as name=value
	AppAddress     string            `toml:"appAddress"` // address of the host beside the proxy
	Service        string            `toml:"carrier"`    // service that the host belongs to
	RoutingMode    string            `toml:"routingMode"`
	Zones          map[string]string `toml:"zones"`

	// Addresses at which the process listens.
	Listen struct {
		Inbound  string `toml:"inboundDock"`
		Outbound string `toml:"outboundDock"` // for clients' requests
		Ready    string `toml:"readyDock"`    // for the platform's readiness probe
		Control  string `toml:"controlDock"`  // for heartbeats of the host and calls of operators
	} `toml:"docking"`
	Limits struct {
		CPUShare    float64 `toml:"cpuShare"`
		MemoryMB    int     `toml:"memoryMb"`
		LinkMbps    float64 `toml:"linkMbps"`
		FileHandles int     `toml:"fileHandles"`
		DiskMB      int     `toml:"diskMb"`
	} `toml:"sizeLimits"`
	Tolerance struct {
		Machines int `toml:"machines"` // number of machines whose failure the mesh has to tolerate
	} `toml:"tolerance"`

	parameters map[string]float64
}

// Load reads and checks the settings file that EnvVariable names.
func Load(getenv func(string) string) (*Settings, error) {
	path := getenv(EnvVariable)
	if path == "" {
		return nil, errors.Newf("%s is not set; it must hold the path of the settings file", EnvVariable)
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
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return nil, errors.Newf("settings: %s line %d column %d, %s: %s", path, row, col,
				strings.Join(decodeErr.Key(), "."), decodeErr.Error())
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
		return errors.Newf("ip: %q is not an IP address", s.IP)
	}
	if s.Zone == "" {
		return errors.New("zone: missing")
	}
	if len(s.SparePorts) < 1 || s.SparePorts[0] <= 0 || s.SparePorts[0] > 65535 {
		return errors.Newf("sparePorts: %v does not start with a valid port, which the mesh protocol needs", s.SparePorts)
	}
	if len(s.SeedAddresses) == 0 {
		return errors.New("seedDepots: no address given")
	}
	for name, addr := range map[string]string{"docking.outboundDock": s.Listen.Outbound, "docking.readyDock": s.Listen.Ready,
		"docking.controlDock": s.Listen.Control, "appAddress": s.AppAddress} {
		if addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errors.Newf("%s: %q is not address and port", name, addr)
		}
	}
	for _, seed := range s.SeedAddresses {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return errors.Newf("seedDepots: %q is not address and port", seed)
		}
	}
	s.parameters = map[string]float64{}
	for _, text := range s.ParameterTexts {
		name, value, _ := strings.Cut(text, "=")
		switch v, err := strconv.ParseFloat(value, 64); {
		case err == nil:
			s.parameters[name] = v
		case value == "true":
			s.parameters[name] = 1
		case value == "false":
			s.parameters[name] = 0
		default:
			return errors.Newf("bounds: %q is not name=value", text)
		}
	}
	return nil
}

// Parameter returns a named parameter from the file's bounds, or defaultValue if the file does not set it. true is 1 and false 0.
func (s *Settings) Parameter(name string, defaultValue float64) float64 {
	if v, found := s.parameters[name]; found {
		return v
	}
	return defaultValue
}

// DurationParameter returns a parameter as a duration. The unit in the file is milliseconds if the name ends in Ms, else seconds.
func (s *Settings) DurationParameter(name string, defaultValue time.Duration) time.Duration {
	unit := time.Second
	if strings.HasSuffix(name, "Ms") {
		unit = time.Millisecond
	}
	return time.Duration(s.Parameter(name, float64(defaultValue)/float64(unit)) * float64(unit))
}

// MeshAddress returns the address at which the other processes of the mesh reach this one.
func (s *Settings) MeshAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.SparePorts[0])) }

// Seeds returns the mesh addresses of the control servers in seedDepots. They follow from the IP addresses because all machines
// use the same ports.
func (s *Settings) Seeds() []string {
	var seeds []string
	for _, text := range s.SeedAddresses {
		at, _ := netip.ParseAddrPort(text)
		seeds = append(seeds, net.JoinHostPort(at.Addr().String(), strconv.Itoa(s.SparePorts[0])))
	}
	return seeds
}
