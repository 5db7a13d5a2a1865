package sidecar

import (
	"maps"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/packed"
	"beechwing/internal/mesh/routeconfig"
)

// This file pulls records of hosts and the configuration from control servers, and answers other proxies that pull from this
// one.

// sendPull pulls what is lacking here from a control server. hold allows the server to delay the answer until there is
// news.
func (d *discovery) sendPull(hold bool) {
	servers := d.servers
	if len(servers) == 0 {
		servers = d.sidecar.opts.Seeds
	}
	d.newestPull, d.pulledAt, d.longPoll = d.sidecar.nextID(), d.sidecar.now, hold
	to := servers[d.serverIndex%len(servers)]
	d.addPull(outstandingPull{d.newestPull, to})
	d.sidecar.send(to, d.sidecar.newRPC(d.newestPull, &meshpb.Message{Pull: d.newPull(hold)}))
}

// pullTimeout returns the time in seconds until the newest pull counts as unanswered.
func (d *discovery) pullTimeout() float64 {
	if d.longPoll {
		return longPollTimeout
	}
	// If all servers are slow, asking more often makes them slower.
	return min(longPollTimeout, minPullTimeout*float64(int(1)<<min(d.missedPulls, 4)))
}

// newPull builds a pull, which lists the versions that are known here.
func (d *discovery) newPull(hold bool) *meshpb.Pull {
	pull := &meshpb.Pull{Own: d.own, Hold: hold}
	for _, proxy := range d.proxies() {
		pull.Seen = append(pull.Seen, &meshpb.Seen{Source: proxy, Version: d.records[proxy].Version})
	}
	if d.sidecar.table != nil {
		pull.Edition = d.sidecar.table.Version
	}
	pull.Assignments = d.sidecar.shards.version()
	if d.sidecar.opts.AgreedEjection {
		e := &d.sidecar.ejections
		pull.Observations, pull.Accused, pull.EjectionLists = e.observations(d.sidecar.now), e.suspects, e.version
	}
	return pull
}

// receiveUpdate applies the answer of another process to a pull. Versions older than the known ones have no effect.
func (d *discovery) receiveUpdate(from string, m *meshpb.Message) {
	p, update := d.sidecar, m.Update
	asked, fromServer := d.pullTarget(m.Id, from)
	if !p.acceptsResponse(from, m, asked) {
		return
	}
	d.finishPull(m.Id, from)
	changed := d.applyRecords(update.Records)
	if fromServer && d.applyServerNews(update) {
		changed = true
	}
	p.shards.learn(update.Assignments)
	applied, readable := d.applyConfigUpdate(from, update)
	if changed && !applied { // a new configuration has updated the balancers
		d.updateBalancers()
	}
	if m.Id == d.newestPull {
		d.scheduleNextPull(update, readable)
	}
}

// applyRecords applies records of hosts and reports whether any has changed.
func (d *discovery) applyRecords(records []*meshpb.Record) (changed bool) {
	for _, record := range records {
		if record.Source == d.sidecar.opts.Self {
			if d.supersedesOwn(record) {
				d.own = d.nextRecord(record.Version + 1)
				d.records[d.sidecar.opts.Self] = d.own
				changed = true
			}
			continue
		}
		if d.applyRecord(record) {
			changed = true
		}
	}
	return changed
}

// applyServerNews applies what only a control server can tell, and reports whether that changes which hosts are used.
func (d *discovery) applyServerNews(update *meshpb.Update) (changed bool) {
	d.missedPulls, d.serverHeardAt = 0, d.sidecar.now
	if servers := d.withoutSelf(update.Servers); len(servers) > 0 && update.Epoch >= d.serversEpoch {
		d.servers, d.serversEpoch = servers, update.Epoch
	}
	d.serverAnswered = true
	return !update.Alone && d.applyVerdicts(update)
}

// applyConfigUpdate applies the configuration of an update if it is newer than the one in force. readable is false if it is newer
// and cannot be read.
func (d *discovery) applyConfigUpdate(from string, update *meshpb.Update) (applied, readable bool) {
	p := d.sidecar
	if update.Edition == 0 || p.table != nil && update.Edition <= p.table.Version {
		return false, true
	}
	table, err := decodeConfig(update.Text)
	if err != nil {
		d.logUnreadable(update.Edition, err)
		return false, false
	}
	p.applyConfig(table)
	p.opts.Log("in force", "edition", table.Version, "routes", len(table.Config.Routes), "from", from)
	return true, true
}

// scheduleNextPull pulls again after the answer to the newest pull.
func (d *discovery) scheduleNextPull(update *meshpb.Update, readable bool) {
	switch {
	case update.Alone: // the server is cut off from the other control servers, so its knowledge may be old
		d.serverIndex++
		d.newestPull, d.pullNotBefore = 0, d.sidecar.now+isolatedRetryDelay
	case !readable:
		d.newestPull, d.pullNotBefore = 0, d.sidecar.now+unreadableRetryDelay
	default:
		d.sendPull(true)
	}
}

// logUnreadable logs once for each version that a configuration cannot be read. The one before stays in force.
func (d *discovery) logUnreadable(version uint64, err error) {
	if d.unreadableConfig == version {
		return
	}
	d.unreadableConfig = version
	d.sidecar.opts.Log("configuration not understood", "edition", version, "error", err)
}

// decodeConfig decodes a configuration as received.
func decodeConfig(text []byte) (*routeconfig.Table, error) {
	plain, err := packed.Unpack(text)
	if err != nil {
		return nil, err
	}
	return routeconfig.Compile(plain)
}

// withoutSelf returns the addresses other than this sidecar's own, so that it does not pull from itself.
func (d *discovery) withoutSelf(addresses []string) (all []string) {
	for _, address := range addresses {
		if address != d.sidecar.opts.Self {
			all = append(all, address)
		}
	}
	return all
}

// applyVerdicts applies what a control server in contact with the others says about silent proxies and ejected hosts.
func (d *discovery) applyVerdicts(update *meshpb.Update) (changed bool) {
	p := d.sidecar
	silent := map[string]bool{}
	for _, proxy := range update.Silent {
		if proxy != p.opts.Self {
			silent[proxy] = true
		}
	}
	changed = !maps.Equal(silent, d.silent)
	d.silent = silent
	return p.opts.AgreedEjection && p.ejections.applyLists(p.now, update) || changed
}

// receivePull answers another proxy's pull with the records that the proxy lacks. The proxies that watch this one pull
// while no control server answers them.
func (d *discovery) receivePull(from string, m *meshpb.Message) {
	p, pull := d.sidecar, m.Pull
	if pull.Own != nil && d.applyRecord(pull.Own) {
		d.updateBalancers()
	}
	update := &meshpb.Update{}
	versions := make(map[string]uint64, len(pull.Seen))
	for _, s := range pull.Seen {
		versions[s.Source] = s.Version
	}
	for _, proxy := range d.proxies() {
		if record := d.records[proxy]; versions[proxy] < record.Version {
			update.Records = append(update.Records, record)
		}
	}
	update.Records = append(update.Records, d.tombstonesFor(versions)...)
	if p.table != nil && p.table.Version > pull.Edition {
		update.Edition, update.Text = p.table.Version, packed.Pack(p.table.Text)
	}
	p.respond(from, m, &meshpb.Message{Update: update})
}

// connectionLost moves on to the next control server if the connection to the present one was lost.
func (d *discovery) connectionLost(from string) {
	servers := d.servers
	if len(servers) == 0 {
		servers = d.sidecar.opts.Seeds
	}
	if servers[d.serverIndex%len(servers)] == from {
		d.serverIndex++
		d.newestPull, d.pullNotBefore = 0, d.sidecar.now+unreachableRetryDelay
	}
}
