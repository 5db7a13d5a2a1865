package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// Reload requests that the configuration be read again. It may be called at any time and never blocks. Several calls in
// quick succession may cause only one reload.
func (p *Proxy) Reload() { signal(p.reloadRequests) }

// serveReloads processes the requests of Reload until ctx is cancelled.
func (p *Proxy) serveReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reloadRequests:
			if err := p.reloadConfig(); err != nil {
				p.log.Error("configuration not read again, the old one stays", zap.Error(err))
			}
		}
	}
}

// reloadConfig reads the configuration and applies what may change in a running proxy: the settings, the address of
// discovery, and the operator's connection limits. The environment stays that of the start, so an address of discovery that
// has changed in the file takes precedence over PROXY_DISCOVERY. An unchanged address in the file has no effect.
func (p *Proxy) reloadConfig() error {
	if p.cfg.reload == nil {
		return errors.New("configuration was not read from a file")
	}
	c, err := p.cfg.reload()
	if err != nil {
		return err
	}
	current, next := p.cfg.file, c.file
	if next.Discovery != current.Discovery {
		if _, _, err := net.SplitHostPort(next.Discovery); err != nil {
			return err
		}
		p.log.Info("discovery has moved", zap.String("from", current.Discovery), zap.String("to", next.Discovery))
		p.owner.discovery.setAddr(next.Discovery)
	} else {
		p.log.Info("configuration read again, discovery is where it was")
	}
	for name, same := range map[string]bool{
		"name": next.Name == current.Name, "listen": next.Listen == current.Listen, "limits": next.Limits == current.Limits,
	} {
		if !same {
			p.log.Warn("a change that waits for the next start", zap.String("of", name))
		}
	}
	if !sameJSON(next.Settings, current.Settings) {
		p.applySettings(c)
	}
	p.cfg.file = next
	if p.cfg.Site.Failover != c.Site.Failover || !reflect.DeepEqual(p.cfg.Site.Regions, c.Site.Regions) ||
		!reflect.DeepEqual(p.cfg.Site.Members, c.Site.Members) {
		p.log.Warn("a change that waits for the next start", zap.String("of", "failover, members, regions"))
	}
	if p.zonePlanner != nil && len(c.memberKeys) > 0 {
		p.zonePlanner.rekey(c.memberKeys)
	}
	if p.cfg.Site.Connections != c.Site.Connections {
		p.log.Info("operator's file read again, limits of connections taken over")
		if p.cfg.Site.Connections.Callers != c.Site.Connections.Callers {
			p.log.Warn("a change that waits for the next start", zap.String("of", "connections.callers"))
		}
		p.cfg.Site = c.Site
		p.front.configure(c.Site.Connections)
	}
	return nil
}

// applySettings applies changed settings. The balancer gets them before the connections of clients do: the owner translates
// requests that were parsed under the old settings, and requests parsed under the new ones find them in force.
func (p *Proxy) applySettings(c *Config) {
	current, next := p.activeConfig.Load(), &c.Balancer
	p.cfg.zones.setOwnZone(next, c.Settings)
	next.Seed = current.Seed
	p.setActiveConfig(next)
	p.hosts.settings.Store(newHostSettings(c.Settings, next))
	change := configChanged{cfg: *next, names: newNameIndex(c.Settings, next, p.owner.stats), applied: make(chan struct{})}
	p.owner.post(change)
	select {
	case <-change.applied:
	case <-p.owner.done:
		return
	}
	p.front.names.Store(change.names)
	p.front.updateTable(func(time.Duration) { p.front.admission.SetMaxWait(maxQueueWait(next.Classes)) })
	p.owner.discovery.configure(current, next)
	p.log.Info("settings in force", zap.Strings("classes", change.names.classNames), zap.Int("proxies", next.Balancers))
}

// sameJSON reports whether two valid JSON texts are equal except for white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
