package proxy

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/wire"
)

// event is what the owner's queue holds.
type event interface{ apply(o *owner) }

// arrival is a request that has come whole.
type arrival struct{ request *request }

// departure is word that a request's client has left, or has broken the protocol and gets an answer for that.
type departure struct {
	request *request
	answer  answer
}

// outcome is the end of an attempt.
type outcome struct {
	attempt *attempt
	result  balancer.Result
	reply   reply
}

// probed is the end of a probe.
type probed struct {
	host   balancer.HostID
	sent   float64
	result balancer.Result
	report []float32
}

// members is word on the list.
type members struct {
	kind balancer.ListKind
	list catalog
}

// stop ends the owner once nothing is in flight.
type stop struct{}

// An id that is open already is some other request's: with both out, a host could not tell them apart.
func (e arrival) apply(o *owner) {
	q := e.request
	if o.openIDs[q.name] {
		q.answer <- badRequest{http.StatusConflict, "a request with this id is open"}.answer()
		freeRequest(o.bufs, q)
		return
	}
	if q.names != o.names { // other settings came between
		if bad := o.names.adopt(q); bad != nil {
			q.answer <- bad.answer()
			freeRequest(o.bufs, q)
			return
		}
	}
	o.openIDs[q.name] = true
	o.lastID++
	q.ID = o.lastID
	now := o.clock.now()
	q.Budget = max(0, q.Budget-time.Since(q.taken).Seconds()) // it may have waited in the queue
	if o.endsAt > 0 {
		q.Budget = max(0, min(q.Budget, o.endsAt-now))
	}
	o.pending[q.ID] = &pendingRequest{request: q, deadline: now + q.Budget, maxAttempts: o.cfg.MaxAttempts}
	o.zoneObserver.requestReceived(now)
	o.bal.Request(now, q.Request)
}

func (e departure) apply(o *owner) {
	f := o.pending[e.request.ID]
	if f == nil {
		return
	}
	if f.answered {
		f.leave()
		return
	}
	o.complete(f, e.answer)
	o.bal.ClientLeft(o.clock.now(), e.request.ID)
	o.release(f)
}

func (e outcome) apply(o *owner) {
	a := e.attempt
	f := o.pending[a.request.ID]
	if line := o.log.Check(zap.DebugLevel, "attempt"); line != nil {
		line.Write(zap.String("id", a.request.name), zap.Int("class", a.request.Class), zap.Int("attempt", a.number),
			zap.String("host", fmt.Sprintf("%x", a.host)), zap.Stringer("result", e.result), zap.Int("status", e.reply.status),
			zap.Float64("took", o.clock.now()-a.sent), zap.NamedError("cause", e.reply.err))
	}
	a.over = true
	f.outstanding--
	switch {
	case f.answered:
	case e.result == balancer.OK:
		o.complete(f, answer{status: http.StatusOK, kind: e.reply.kind, body: e.reply.body})
		e.reply.body = wire.Body{}
	case e.result == balancer.Errored && atFault(e.reply.status):
		o.complete(f, answer{status: e.reply.status, text: "a host cannot use the request\n"})
		e.result = balancer.Cancelled // says nothing about the host, and no other would take it
	}
	o.bufs.FreeBody(&e.reply.body)
	now := o.clock.now()
	took := cmp.Or(a.begunAt, now) - a.sent
	o.zoneObserver.attemptEnded(now, took, a, e.result, o.cfg.Classes)
	o.bal.Outcome(now, balancer.Outcome{ID: a.request.ID, Attempt: a.number, Host: a.host, Result: e.result,
		Took: took, Final: f.answered, Report: e.reply.report})
	o.release(f)
}

func (e probed) apply(o *owner) {
	o.pendingProbes--
	now := o.clock.now()
	o.bal.Probed(now, balancer.ProbeResult{Host: e.host, Result: e.result, Took: now - e.sent, Report: e.report})
}

func (e members) apply(o *owner) {
	now := o.clock.now()
	list := e.list
	if e.kind != balancer.ListFailed {
		list = o.registry.update(e.kind, e.list)
		o.hosts.update(e.kind, list, now)
		o.zoneObserver.updateHosts(e.kind, list)
	}
	o.bal.UpdateHosts(now, e.kind, list.hosts)
	o.refreshHostStats(now)
	if len(list.hosts) > 0 && !o.ready.Swap(true) {
		close(o.hostsKnown)
	}
	if e.kind == balancer.ListFull || e.kind == balancer.ListChanges {
		o.told()
	}
}

// told notes that discovery has told of the list.
func (o *owner) told() {
	select {
	case <-o.listReceived:
	default:
		if o.ready.Load() {
			close(o.listReceived)
		}
	}
}

func (stop) apply(o *owner) { o.stopping = true }

// configured is word of other settings. Requests that are open keep the deadline, effect and attempts that they came with.
type configured struct {
	cfg     balancer.Config
	names   *names
	applied chan struct{}
}

func (e configured) apply(o *owner) {
	o.bal.Configure(o.clock.now(), e.cfg, e.names.kept(o.names))
	o.cfg, o.names = e.cfg, e.names
	close(e.applied)
}

// ending is word that the process ends at a time: what it still takes has to be answered by then.
type ending struct{ by float64 }

func (e ending) apply(o *owner) { o.endsAt = e.by }

// dropped looks, once the module has returned, whether a flight has ended.
type dropped struct{ flight *pendingRequest }

func (e dropped) apply(o *owner) { o.release(e.flight) }
