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

// Reload asks for the configuration to be read again. It may be called at any time and never blocks; several calls that
// come together are one.
func (p *Proxy) Reload() { ask(p.reloads) }

// reload serves Reload until ctx ends.
func (p *Proxy) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reloads:
			if err := p.adopt(); err != nil {
				p.log.Error("configuration not read again, the old one stays", zap.Error(err))
			}
		}
	}
}

// adopt takes over what a new configuration may change in a running proxy: the settings, the address of discovery, and the
// operator's limits of connections. PROXY_DISCOVERY is
// still that of the start, so what has changed in the file goes before it; what has not changed there changes nothing.
func (p *Proxy) adopt() error {
	if p.cfg.reread == nil {
		return errors.New("it was not read from a file")
	}
	c, err := p.cfg.reread()
	if err != nil {
		return err
	}
	was, is := p.cfg.file, c.file
	if is.Discovery != was.Discovery {
		if _, _, err := net.SplitHostPort(is.Discovery); err != nil {
			return err
		}
		p.log.Info("discovery has moved", zap.String("from", was.Discovery), zap.String("to", is.Discovery))
		p.owner.list.move(is.Discovery)
	} else {
		p.log.Info("configuration read again, discovery is where it was")
	}
	for name, same := range map[string]bool{
		"name": is.Name == was.Name, "listen": is.Listen == was.Listen, "limits": is.Limits == was.Limits,
	} {
		if !same {
			p.log.Warn("a change that waits for the next start", zap.String("of", name))
		}
	}
	if !sameJSON(is.Settings, was.Settings) {
		p.reconfigure(c)
	}
	p.cfg.file = is
	if p.cfg.Site.Failover != c.Site.Failover || !reflect.DeepEqual(p.cfg.Site.Regions, c.Site.Regions) ||
		!reflect.DeepEqual(p.cfg.Site.Members, c.Site.Members) {
		p.log.Warn("a change that waits for the next start", zap.String("of", "failover, members, regions"))
	}
	if p.steering != nil && len(c.keys) > 0 {
		p.steering.rekey(c.keys)
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

// reconfigure takes over other settings. The module comes first: a request read by the names of before is worded anew when
// it gets there, one read by the new names finds them in force.
func (p *Proxy) reconfigure(c *Config) {
	was, is := p.live.Load(), &c.Balancer
	p.cfg.zones.place(is, c.Settings)
	is.Seed = was.Seed
	p.inForce(is)
	p.hosts.settings.Store(newHostSettings(c.Settings, is))
	e := configChanged{cfg: *is, names: newNameIndex(c.Settings, is, p.owner.tally), applied: make(chan struct{})}
	p.owner.post(e)
	select {
	case <-e.applied:
	case <-p.owner.done:
		return
	}
	p.front.names.Store(e.names)
	p.front.updateTable(func(time.Duration) { p.front.admission.Patient(patienceFor(is.Classes)) })
	p.owner.list.configure(was, is)
	p.log.Info("settings in force", zap.Strings("classes", e.names.classNames), zap.Int("proxies", is.Balancers))
}

// sameJSON compares two texts that have been read as JSON, but for white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
