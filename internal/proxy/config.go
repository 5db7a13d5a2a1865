package proxy

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"beechwing/balancer"
	"beechwing/internal/member"
	"beechwing/internal/park"
	"beechwing/internal/settings"
	"beechwing/internal/site"
	"beechwing/internal/wire"
)

// Config is the configuration of a client proxy.
type Config struct {
	Name, Listen, Discovery string
	Ops                     string // address of the admin server; "": none
	ListenFD                string // descriptor of an inherited listening socket; "": the proxy binds Listen
	StateDir                string // directory for state that outlasts the process
	Seed                    uint64
	Limits                  Limits
	Known                   catalog // last host list of the previous process; may be outdated
	Settings                *settings.Settings
	Balancer                balancer.Config
	zones                   *zoneTable
	Site                    site.File // the operator's file (PROXY_SITE)

	memberKeys [][]byte                // encrypt messages between members of the fleet
	file       configFile              // as last read
	reload     func() (*Config, error) // reads the configuration again; nil: it did not come from a file
}

// Limits are the resources that a client proxy may use. Zero means not specified.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	// File descriptors for the listener, discovery, poller, standard streams, the admin server (17), and a margin.
	reservedDescriptors = 48
	softMemoryShare     = 0.75 // of the memory limit: the garbage collector works harder above this
	// Bytes for a request in progress, with its response.
	memoryPerRequest    = 2 * (wire.MaxBody + 2*wire.BufferSize)
	memoryPerParkedConn = 2 << 10 // bytes for a connection that is idle and has no goroutine
	parkedMemoryShare   = 0.25    // of the soft memory limit, for all parked connections
	watcherMemoryShare  = 0.125   // of the memory limit, for goroutines that wait for data on parked connections
	overflowConns       = 32      // connections over the limit that get an error response before they are closed
)

// configFile is the file that PROXY_CONFIG names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Ops       string          `json:"ops"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// LoadConfig reads the file that the environment variable PROXY_CONFIG names, and the operator's file that PROXY_SITE names,
// if any. The other PROXY_ variables override the configuration file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("configuration: PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if path := getenv("PROXY_SITE"); path != "" {
		if c.Site, err = site.Load(path); err != nil {
			return nil, err
		}
		if file := c.Site.Members.KeyFile; c.Site.Failover.Mode == site.FailoverCommon && file != "" {
			if c.memberKeys, err = member.LoadKeys(file); err != nil {
				return nil, err
			}
		}
	}
	c.reload = func() (*Config, error) { return LoadConfig(getenv) }
	return c, nil
}

func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Settings == nil {
		return nil, errors.New("no settings")
	}
	c := &Config{Limits: f.Limits, file: f, Site: site.Default()}
	c.Name = cmp.Or(getenv("PROXY_NAME"), f.Name)
	c.Listen = cmp.Or(getenv("PROXY_LISTEN"), f.Listen)
	c.Discovery = cmp.Or(getenv("PROXY_DISCOVERY"), f.Discovery)
	c.Ops = cmp.Or(getenv("PROXY_OPS"), f.Ops)
	c.ListenFD = getenv("PROXY_FD")
	c.StateDir = cmp.Or(getenv("TMPDIR"), os.TempDir())
	addresses := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.Ops != "" {
		addresses["ops"] = c.Ops
	}
	for name, addr := range addresses {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s address: %w", name, err)
		}
	}
	var err error
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, err
	}
	if len(c.Settings.Classes) == 0 {
		return nil, errors.New("settings: no classes")
	}
	c.Seed = parseSeed(f.Seed)
	if c.Balancer, err = c.Settings.Config(c.Seed); err != nil {
		return nil, err
	}
	c.Balancer.PeerMessages = false // the protocol has no messages between proxies
	c.Balancer.AskForList = true    // discovery sends the list only on request
	c.zones = newZoneTable(c.Settings.Dcs...)
	c.zones.setOwnZone(&c.Balancer, c.Settings)
	if f.Known != nil && string(f.Known) != "null" {
		if c.Known, err = parseCatalog(f.Known, c.zones); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.Limits.setDefaults()
	return c, nil
}

// parseSeed parses a hexadecimal seed. Any other text is hashed, and an empty one gives the current time.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	if text == "" {
		return uint64(time.Now().UnixNano())
	}
	return hashName(text)
}

// hashName returns a hash of a name that is the same in every proxy.
func hashName(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (l *Limits) setDefaults() {
	l.Sockets = cmp.Or(max(0, l.Sockets), defaultSockets)
	l.MemoryMB = cmp.Or(max(0, l.MemoryMB), defaultMemoryMB)
}

// apply sets GOMAXPROCS to the cores, and a soft memory limit below the memory limit, at which the process would be killed.
// With more memory, garbage is collected less often: with 9,000 idle connections to mark, a collection every half second
// added 2 to 4 ms to the p99 latency of the other traffic.
func (l Limits) apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(l.Cores))))
	}
	debug.SetMemoryLimit(int64(softMemoryShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(min(300, max(100, 100*l.MemoryMB/48)))
}

// connectionShares returns how many connections there may be in total, and how many of them are reserved for clients and
// for hosts. A third of the file descriptors is reserved for clients, since clients may use that many for requests.
func (l Limits) connectionShares() (total, clients, hosts int) {
	total = max(2, l.Sockets-reservedDescriptors-overflowConns)
	clients = min(total-1, max(1, (l.Sockets+2)/3))
	hosts = max(1, min(total-clients, l.Sockets/4))
	return total, min(clients, total-hosts), hosts
}

// clientLimits returns how many client connections there may be, and how many of their requests may be read and processed
// at once. A client connection has one request at a time, so the second limit also bounds the owner's queue and the memory
// for request bodies.
func (l Limits) clientLimits() (clients, requests int) {
	total, _, hosts := l.connectionShares()
	memory := softMemoryShare * float64(l.MemoryMB) * (1 << 20)
	clients = max(1, min(total-hosts, int(parkedMemoryShare*memory/memoryPerParkedConn)))
	return clients, max(1, min(clients, int(memory/memoryPerRequest)))
}

// allowWatchers reports whether there is enough memory for one waiting goroutine per client connection.
func (l Limits) allowWatchers(clients int) bool {
	return float64(clients*park.WatcherStackBytes) <= watcherMemoryShare*float64(l.MemoryMB)*(1<<20)
}
