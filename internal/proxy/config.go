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

// Config is what a client proxy is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Ops                     string // the operators' address; "": there is no door
	ListenFD                string // the descriptor of the clients' listening socket; "": it listens by itself
	StateDir                string // for what one process leaves to the next
	Seed                    uint64
	Limits                  Limits
	Known                   catalog // the list as last held before a restart; it may be old
	Settings                *settings.Settings
	Balancer                balancer.Config
	zones                   *zoneTable
	Site                    site.File // what the operator sets

	memberKeys [][]byte   // of the fleet's words
	file       configFile // as it was read
	reload     func() (*Config, error)
}

// Limits is what the machine of a client proxy grants it. Zero means that nothing was said.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultSockets      = 1024
	defaultMemoryMB     = 192
	reservedDescriptors = 48   // of the descriptors: listener, discovery, poller, standard streams, the operators' door (17), and some to spare
	softMemoryShare     = 0.75 // of the memory limit: from there on the garbage collector works harder
	memoryPerRequest    = 2 * (wire.MaxBody + 2*wire.BufferSize)
	memoryPerParkedConn = 2 << 10 // of a connection that brings nothing
	parkedMemoryShare   = 0.25    // of the soft limit, for them all
	watcherMemoryShare  = 0.125   // of the memory limit, for goroutines that watch what is parked
	overflowConns       = 32      // connections beyond the bound that still get an answer before they are closed
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

// LoadConfig reads the file that PROXY_CONFIG names. The other variables go before what the file says.
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
		if file := c.Site.Members.KeyFile; c.Site.Failover.Mode == site.Common && file != "" {
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
	c.Balancer.PeerMessages = false // the protocol has none
	c.Balancer.AskForList = true    // and no list that comes unasked
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

// parseSeed takes hexadecimal as it is; any other text is hashed, and an empty one is the time.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	if text == "" {
		return uint64(time.Now().UnixNano())
	}
	return hashName(text)
}

// hash gives names a number that is the same in every proxy.
func hashName(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (l *Limits) setDefaults() {
	l.Sockets = cmp.Or(max(0, l.Sockets), defaultSockets)
	l.MemoryMB = cmp.Or(max(0, l.MemoryMB), defaultMemoryMB)
}

// apply bends the runtime to the machine: as many threads as cores, and a garbage collector that keeps below the
// memory limit, over which the process would be killed. Where there is room it collects less often: with 9,000 idle
// connections to mark, a collection each half second added 2 to 4 ms to the p99 of the traffic beside them.
func (l Limits) apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(l.Cores))))
	}
	debug.SetMemoryLimit(int64(softMemoryShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(min(300, max(100, 100*l.MemoryMB/48)))
}

// shares says how many connections there may be in all, and how many of them are always clients' and always hosts'. Clients
// may hold a third of the descriptors for requests, so that much is theirs.
func (l Limits) connectionShares() (total, clients, hosts int) {
	total = max(2, l.Sockets-reservedDescriptors-overflowConns)
	clients = min(total-1, max(1, (l.Sockets+2)/3))
	hosts = max(1, min(total-clients, l.Sockets/4))
	return total, min(clients, total-hosts), hosts
}

// connections says how many clients may be connected at the most, and how many of their requests may be read and worked on
// at once. A client has one request at a time, so the last bounds the owner's queue and held bodies as well.
func (l Limits) clientLimits() (clients, requests int) {
	total, _, hosts := l.connectionShares()
	memory := softMemoryShare * float64(l.MemoryMB) * (1 << 20)
	clients = max(1, min(total-hosts, int(parkedMemoryShare*memory/memoryPerParkedConn)))
	return clients, max(1, min(clients, int(memory/memoryPerRequest)))
}

// watchers says whether each of so many connections may have a goroutine that waits for it.
func (l Limits) allowWatchers(clients int) bool {
	return float64(clients*park.WatcherStack) <= watcherMemoryShare*float64(l.MemoryMB)*(1<<20)
}
