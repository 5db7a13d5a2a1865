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

// event is an entry of the owner's queue.
type event interface{ apply(o *owner) }

// requestReceived is posted when a client has sent a request.
type requestReceived struct{ request *request }

// requestAborted is posted when the client of a request has left, or has violated the protocol and gets an error
// response.
type requestAborted struct {
	request  *request
	response clientResponse
}

// attemptEnded is posted when an attempt has ended.
type attemptEnded struct {
	attempt  *attempt
	result   balancer.Result
	response hostResponse
}

// probeEnded is posted when a probe has ended.
type probeEnded struct {
	host   balancer.HostID
	sentAt float64
	result balancer.Result
	report []float32
}

// hostListReceived is posted when a host list or changes to it have arrived, or when a call for them has failed.
type hostListReceived struct {
	kind balancer.ListKind
	list catalog
}

// stopRequested stops the owner once no request or probe is open.
type stopRequested struct{}

// apply passes the request to the balancer. A request with the ID of an open one is rejected, since a host could not
// tell the two apart.
func (e requestReceived) apply(o *owner) {
	q := e.request
	if o.openIDs[q.txnID] {
		q.response <- badRequest{http.StatusConflict, "a request with this id is open"}.response()
		freeRequest(o.bufs, q)
		return
	}
	if q.names != o.names { // the settings changed after the request was parsed
		if bad := o.names.reindex(q); bad != nil {
			q.response <- bad.response()
			freeRequest(o.bufs, q)
			return
		}
	}
	o.openIDs[q.txnID] = true
	o.lastID++
	q.ID = o.lastID
	now := o.clock.now()
	q.Budget = max(0, q.Budget-time.Since(q.receivedAt).Seconds()) // the request may have waited in the queue
	if o.endsAt > 0 {
		q.Budget = max(0, min(q.Budget, o.endsAt-now))
	}
	o.pending[q.ID] = &pendingRequest{request: q, deadline: now + q.Budget, maxAttempts: o.cfg.MaxAttempts}
	o.zoneObserver.requestReceived(now)
	o.bal.Request(now, q.Request)
}

func (e requestAborted) apply(o *owner) {
	f := o.pending[e.request.ID]
	if f == nil {
		return
	}
	if f.answered {
		f.abandonResponse()
		return
	}
	o.complete(f, e.response)
	o.bal.ClientLeft(o.clock.now(), e.request.ID)
	o.release(f)
}

func (e attemptEnded) apply(o *owner) {
	a := e.attempt
	f := o.pending[a.request.ID]
	if line := o.log.Check(zap.DebugLevel, "attempt"); line != nil {
		line.Write(zap.String("id", a.request.txnID), zap.Int("class", a.request.Class), zap.Int("attempt", a.number),
			zap.String("host", fmt.Sprintf("%x", a.host)), zap.Stringer("result", e.result), zap.Int("status", e.response.status),
			zap.Float64("took", o.clock.now()-a.sentAt), zap.NamedError("cause", e.response.err))
	}
	a.ended = true
	f.outstanding--
	switch {
	case f.answered:
	case e.result == balancer.OK:
		o.complete(f, clientResponse{status: http.StatusOK, contentType: e.response.contentType, body: e.response.body})
		e.response.body = wire.Body{}
	case e.result == balancer.Errored && blamesRequest(e.response.status):
		o.complete(f, clientResponse{status: e.response.status, text: "a host cannot use the request\n"})
		e.result = balancer.Cancelled // tells nothing about the host, and no other host would accept the request
	}
	o.bufs.FreeBody(&e.response.body)
	now := o.clock.now()
	took := cmp.Or(a.responseStartedAt, now) - a.sentAt
	o.zoneObserver.attemptEnded(now, took, a, e.result, o.cfg.Classes)
	o.bal.Outcome(now, balancer.Outcome{ID: a.request.ID, Attempt: a.number, Host: a.host, Result: e.result,
		Took: took, Final: f.answered, Report: e.response.loadReport})
	o.release(f)
}

func (e probeEnded) apply(o *owner) {
	o.pendingProbes--
	now := o.clock.now()
	o.bal.Probed(now, balancer.ProbeResult{Host: e.host, Result: e.result, Took: now - e.sentAt, Report: e.report})
}

func (e hostListReceived) apply(o *owner) {
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
		o.markListFresh()
	}
}

// markListFresh records that discovery has delivered a host list.
func (o *owner) markListFresh() {
	select {
	case <-o.listReceived:
	default:
		if o.ready.Load() {
			close(o.listReceived)
		}
	}
}

func (stopRequested) apply(o *owner) { o.stopping = true }

// configChanged applies changed settings. Open requests keep their deadline, effect and attempt limit.
type configChanged struct {
	cfg     balancer.Config
	names   *nameIndex
	applied chan struct{}
}

func (e configChanged) apply(o *owner) {
	o.bal.Configure(o.clock.now(), e.cfg, e.names.previousClasses(o.names))
	o.cfg, o.names = e.cfg, e.names
	close(e.applied)
}

// shutdownScheduled sets the time, on the owner's clock, by which new requests have to be answered because the process
// ends.
type shutdownScheduled struct{ at float64 }

func (e shutdownScheduled) apply(o *owner) { o.endsAt = e.at }

// dropCheck removes a pending request if none of its attempts is outstanding. It is queued when the balancer answers the
// request, and runs once the balancer has returned.
type dropCheck struct{ flight *pendingRequest }

func (e dropCheck) apply(o *owner) { o.release(e.flight) }
