package simulation

import (
	"bytes"
	"fmt"
	"testing"

	"beechwing/internal/mesh/control"
)

const (
	configSeconds  = 2.0 // time within which proxies use an acknowledged configuration
	catchUpSeconds = 4.0 // time within which a replaced control server is caught up
)

// partitionDirections are the directions in which a server is partitioned from the others.
var partitionDirections = []string{"both", "out", "in"}

// partition blocks the traffic between a server and all other servers: from the server (out), to the server (in) or both.
func partition(w *World, server *ControlServer, direction string) {
	for _, o := range w.Servers {
		if o == server {
			continue
		}
		if direction != "in" {
			w.Block(server.addr, o.addr)
		}
		if direction != "out" {
			w.Block(o.addr, server.addr)
		}
	}
}

// A control server is partitioned from the others for 20 s, in one or both directions. The server confirms no configuration
// and refuses each, within 20 ms once it has detected the partition and within a second in any case. No proxy keeps an old
// configuration, not even one that starts with this server as its only seed. Within a second after the partition the server
// accepts configurations again.
func TestServerCutOffFor20Seconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(9) {
		w := newCluster(t, seed, 3+int(seed%3))
		isolated, direction := w.Servers[seed%3], partitionDirections[seed/3%3]
		name := fmt.Sprintf("seed %d, %s", seed, direction)
		partitionedAt := w.Now
		partition(w, isolated, direction)
		slowest, confirmed := 0.0, 0
		for i := range 190 {
			w.After(float64(i)*0.1, func() {
				sentAt := w.Now
				w.SendConfig(isolated, 1000+uint64(i), Config(1000+uint64(i)), func(result control.OrderResult) {
					if result == control.OrderTaken {
						confirmed++
					}
					if sentAt > partitionedAt+1 {
						slowest = max(slowest, w.Now-sentAt)
					} else if w.Now > sentAt+1 {
						t.Errorf("%s: a configuration sent at the time of the partition got its result after %.2f s",
							name, w.Now-sentAt)
					}
				})
			})
		}
		for i := range 8 {
			version := uint64(2000 + i)
			w.After(2*float64(i), func() { w.Configure(int(seed)+1, version, nil) })
			w.After(2*float64(i)+0.1, func() {
				restarted := w.Proxies[i%len(w.Proxies)]
				restarted.Kill()
				restarted.seeds = []string{isolated.addr}
				restarted.Start()
			})
		}
		w.Run(1.5)
		for range 16 {
			w.Run(1)
			newest := w.Checker.NewestAcked
			w.After(0, func() {})
			if w.Checker.ackedAt[newest] < w.Now-configSeconds {
				w.Checker.CheckConfigInForce(w.Proxies...)
			}
		}
		w.Run(2)
		if confirmed > 0 {
			t.Errorf("%s: the partitioned server confirmed %d configurations", name, confirmed)
		}
		if slowest > 0.02 {
			t.Errorf("%s: the partitioned server took %.3f s to refuse a configuration", name, slowest)
		}
		w.HealNetwork()
		w.Run(1)
		taken := false
		w.SendConfig(isolated, 3000, Config(3000), func(result control.OrderResult) { taken = result == control.OrderTaken })
		w.Run(0.5)
		if !taken {
			t.Errorf("%s: the server accepts no configuration 1 s after the partition", name)
		}
		checkOutcome(t, w, name, 0)
	}
}

// A server whose contact with the others is lost and restored every second confirms no configuration that is lost later. All
// acknowledged configurations come into force.
func TestContactComesAndGoes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newCluster(t, seed, 3)
		isolated := w.Servers[seed%3]
		for i := range 8 {
			w.After(2*float64(i), func() { partition(w, isolated, partitionDirections[w.Rand.IntN(3)]) })
			w.After(2*float64(i)+1, w.HealNetwork)
		}
		version := uint64(1)
		for i := range 50 {
			version++
			v := version
			w.After(0.3*float64(i), func() { w.Configure(w.Rand.IntN(3), v, nil) })
		}
		w.Run(20)
		w.Checker.CheckConfigInForce(w.Proxies...)
		if w.Checker.NewestAcked != version {
			t.Errorf("seed %d: %d of %d acknowledged", seed, w.Checker.NewestAcked, version)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}

// confirmedConfigs records the text that was confirmed under each version, and checks the results of configurations against it.
type confirmedConfigs struct {
	t         *testing.T
	name      string
	confirmed map[uint64][]byte
	conflicts int
}

func newConfirmedConfigs(t *testing.T, name string) *confirmedConfigs {
	return &confirmedConfigs{t: t, name: name, confirmed: map[uint64][]byte{}}
}

// send sends a configuration to a server and checks the result: at most one text is confirmed under a version, and that text
// is never refused afterwards.
func (x *confirmedConfigs) send(w *World, to *ControlServer, version uint64, text []byte) {
	if !to.up {
		return
	}
	w.SendConfig(to, version, text, func(result control.OrderResult) {
		confirmed, known := x.confirmed[version]
		switch {
		case result == control.OrderTaken && known && !bytes.Equal(confirmed, text):
			x.t.Errorf("%s: two texts are confirmed under version %d", x.name, version)
		case result == control.OrderTaken:
			x.confirmed[version] = text
			w.Checker.configAcked(version)
		case result == control.OrderConflict && known && bytes.Equal(confirmed, text):
			x.t.Errorf("%s: version %d is refused though this text was confirmed", x.name, version)
		case result == control.OrderConflict:
			x.conflicts++
		}
	})
}

// check compares the configurations that proxies use with the confirmed ones.
func (x *confirmedConfigs) check(w *World) {
	for _, p := range w.Proxies {
		text, version := p.sidecar.Configuration()
		if confirmed := x.confirmed[version]; p.up && confirmed != nil && !bytes.Equal(confirmed, text) {
			x.t.Errorf("%s: %s uses another text under version %d than the confirmed one", x.name, p.addr, version)
		}
	}
}

// Two operators send different configurations with the same version to two servers at the same time, and a third one sends
// another shortly after, in half of the runs to a partitioned server. Exactly one is confirmed and in force, and all servers
// agree on it.
func TestOneNumberOneConfiguration(t *testing.T) {
	t.Parallel()
	conflicts := 0
	for seed := range uint64(60) {
		w := newCluster(t, seed, 3+int(seed%3))
		configs := newConfirmedConfigs(t, fmt.Sprintf("seed %d", seed))
		a, b, c := w.Servers[seed%3], w.Servers[(seed+1)%3], w.Servers[(seed+2)%3]
		for i := range 6 {
			version := uint64(10 + i)
			w.After(0.7*float64(i), func() {
				configs.send(w, a, version, ConfigVariant(version, 1))
				w.After(0.01*w.Rand.Float64(), func() { configs.send(w, b, version, ConfigVariant(version, 2)) })
				w.After(0.6*w.Rand.Float64(), func() { configs.send(w, c, version, ConfigVariant(version, 3)) })
			})
		}
		if seed%2 == 0 {
			w.After(2, func() { partition(w, c, partitionDirections[seed%3]) })
		}
		w.Run(8)
		w.HealNetwork()
		w.Run(2)
		configs.check(w)
		w.Checker.CheckConfigInForce(w.Proxies...)
		for _, h := range w.Servers { // each server has the same result when the texts are sent again
			for version := range configs.confirmed {
				for variant := range 3 {
					configs.send(w, h, version, ConfigVariant(version, variant+1))
				}
			}
		}
		w.Run(1)
		configs.check(w)
		conflicts += configs.conflicts
		checkOutcome(t, w, configs.name, 0)
	}
	if conflicts < 600 {
		t.Errorf("%d conflicts, want at least 600 for a meaningful test", conflicts)
	}
}

// A configuration that was confirmed is sent again after hundreds of later ones, a restart, a lost disk and a replaced
// server. Every server confirms it again. Eight configurations are in progress at a time.
func TestOrderSentAgainLater(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newCluster(t, seed, 3)
		configs := newConfirmedConfigs(t, fmt.Sprintf("seed %d", seed))
		first := uint64(5)
		configs.send(w, w.Servers[0], first, Config(first))
		w.Run(0.2)
		if configs.confirmed[first] == nil {
			t.Fatalf("seed %d: not confirmed", seed)
		}
		const changes = 320
		for i := range changes {
			version := uint64(100 + i)
			w.After(0.25*float64(i/8), func() { configs.send(w, w.Servers[w.Rand.IntN(3)], version, Config(version)) })
		}
		w.After(4, w.Servers[0].PowerOff)
		w.After(5, w.Servers[0].Start)
		w.Run(20)
		lost := w.Servers[1]
		w.LoseDisk(lost, 0.5)
		w.Run(catchUpSeconds)
		w.Replace(w.Servers[2])
		w.Run(catchUpSeconds)
		if n := len(w.Members()); n != 3 {
			t.Errorf("%s: %d members", configs.name, n)
		}
		for _, h := range w.Members() {
			answered := false
			w.SendConfig(h, first, Config(first), func(result control.OrderResult) {
				answered = true
				if result != control.OrderTaken {
					t.Errorf("%s: %s returns %v for a configuration that was confirmed before", configs.name, h.addr, result)
				}
			})
			w.Run(0.1)
			if !answered {
				t.Errorf("%s: %s returns no result", configs.name, h.addr)
			}
		}
		w.Checker.CheckConfigInForce(w.Proxies...)
		if len(configs.confirmed) < changes*9/10 {
			t.Errorf("%s: %d of %d changes confirmed", configs.name, len(configs.confirmed), changes)
		}
		checkOutcome(t, w, configs.name, 0)
	}
}

// After hundreds of configurations one server loses its disk, and soon after it recovers the cluster suffers a tolerated
// loss. The recovering server does not vote before it has caught up, catches up in time, and no proxy returns to an older
// configuration.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		n := 3 + int(seed%3)
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, n)
		const changes = 300
		for i := range changes {
			v := uint64(2 + i)
			w.After(0.03*float64(i), func() { w.Configure(w.Rand.IntN(n), v, nil) })
		}
		w.Run(12)
		h := w.Servers[seed%3]
		w.LoseDisk(h, 0.4)
		if h.Voting() {
			t.Errorf("%s: the recovering server votes immediately", name)
		}
		w.Run(1.5)
		if !h.Voting() {
			t.Errorf("%s: the recovering server does not vote 1.5 s after its start", name)
		}
		w.Configure(int(seed), 1000, nil)
		w.Run(0.5)
		if got := h.server.State(w.Now).InForceVersion; got != 1000 {
			t.Errorf("%s: the recovered server has version %d in force, but 1000 was confirmed", name, got)
		}
		checkSurvivesLoss(t, w, name)
		checkOutcome(t, w, name, 0)
	}
}
