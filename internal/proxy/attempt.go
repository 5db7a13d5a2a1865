package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"beechwing/balancer"
	"beechwing/internal/wire"
)

// attempt is one sending of a request to a host.
type attempt struct {
	request *request
	number  int
	host    balancer.HostID
	zone    string  // of the host, where somebody asks; the owner's
	sent    float64 // on the owner's clock
	over    bool    // its outcome has come; the owner's

	ctx    context.Context
	cancel context.CancelCauseFunc
	until  time.Time     // it ends by then; for a long body, that is set with its last byte
	within time.Duration // the module's limit for a long body's attempt; 0: none
	limit  *time.Timer   // ends it

	begunAt float64 // when its answer began to go on to the client; 0: not yet. The owner's, as is
	long    *stream // that answer

	post    func(event)
	tally   *requestStats
	writing sync.Mutex // held while bytes go out
}

// run sends the request and waits for what comes back. It makes exactly one outcome, and never sends twice.
func (a *attempt) run(up *upstream) outcome {
	defer a.cancel(nil)
	defer a.unlimit()
	r, result := up.exchange(a.ctx, a)
	return outcome{attempt: a, result: result, reply: r}
}

// callOff ends an attempt that is under way, and says whether it was. The owner calls it.
func (a *attempt) callOff() bool {
	if a.over || a.cancel == nil { // it has ended, or never went out
		return false
	}
	a.cancel(nil)
	return true
}

// expire ends the attempt as timed out at a time.
func (a *attempt) expire(until time.Time) {
	a.until = until
	a.limit = time.AfterFunc(time.Until(until), func() { a.cancel(context.DeadlineExceeded) })
}

// unlimit takes that back, and says whether it came in time.
func (a *attempt) unlimit() bool { return a.limit == nil || a.limit.Stop() }

// calledOff says whether what a context stands for was given up, and not out of time.
func calledOff(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// begun takes the begin of a long answer. From here on its peers' progress bounds the attempt, and no time does.
func (a *attempt) begun(r reply) bool {
	if !a.unlimit() {
		return false
	}
	a.post(begun{a, r})
	return true
}

// quiet returns when no byte of the attempt can go out any more. The attempt has been called off before.
func (a *attempt) quiet() {
	a.writing.Lock()
	defer a.writing.Unlock()
}

// write puts the request on a connection, all but its last byte first: a host begins with that one. A connection that
// was dead already, or is reset as the request comes, has told so once settle returns, and nothing has run yet; with
// the last byte out nobody could tell. Without an error all bytes have gone out.
func (a *attempt) write(l line) error {
	q := a.request
	if q.up != nil {
		return a.writeLong(l)
	}
	left := time.Until(a.until)
	if left <= 0 {
		return context.DeadlineExceeded
	}
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	parts := q.body.Parts(net.Buffers{q.head[:q.headed], tail})
	end := len(parts) - 1
	most, last := parts[end][:len(parts[end])-1], parts[end][len(parts[end])-1:]
	parts[end] = most
	if err := a.put(l, parts); err != nil {
		return err
	}
	if err := l.settle(); err != nil {
		return err
	}
	if err := a.put(l, net.Buffers{last}); err != nil {
		return err
	}
	a.tally.attempts.Add(1)
	return nil
}

// put writes, unless the attempt has been called off.
func (a *attempt) put(c net.Conn, parts net.Buffers) error {
	a.writing.Lock()
	defer a.writing.Unlock()
	if err := a.ctx.Err(); err != nil {
		return err
	}
	_, err := parts.WriteTo(c)
	return err
}

// line is a connection to a host as one message uses it. One that must not run twice calls settle ahead of its last
// byte, and stops if that fails. A long one asks between its pieces whether the connection stands: a host may have
// answered already.
type line struct {
	net.Conn
	settle, stands func() error
}

// exchanged is a message to a host. begun is told of a long answer that begins, and says whether it is wanted.
type exchanged interface {
	write(l line) error
	begun(r reply) bool
}

// exchange writes a message to a host and reads the answer to it. The result is what the protocol's table makes of it.
//
// Only a connection kept from before that breaks ahead of the message's last byte is replaced, by a new one; whatever
// else breaks is an outcome, and the module decides what follows.
func (u *upstream) exchange(ctx context.Context, x exchanged) (reply, balancer.Result) {
	for fresh := false; ; {
		c, err := u.connect(ctx, fresh)
		if err != nil {
			if calledOff(ctx) {
				return reply{}, balancer.Cancelled
			}
			return reply{}, balancer.ConnectFailed
		}
		call := newCall()
		if !c.begin(call) {
			continue // the host closed it while it was idle
		}
		r, result, again := c.transact(ctx, call, x)
		if !again {
			return r, result
		}
		fresh = true // what else is idle may be dead as well
	}
}

var errBroken = errors.New("the connection broke before the last byte")

// settle waits a moment for word that the connection is broken, which takes a round trip to the host, and says whether it
// still stands.
func (c *hostConn) settle(ctx context.Context, call *call) error {
	wait := time.NewTimer(c.up.hosts.settle)
	defer wait.Stop()
	select {
	case r := <-call.done:
		call.done <- r // it has room for the one
		return errBroken
	case b := <-call.begun:
		call.begun <- b
		return errBroken
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
	}
	if _, ended := wire.Arrived(c.conn); ended { // its reader may not have come to it yet
		return errBroken
	}
	return nil
}

// transact uses a connection for one call. again says that it is to be tried on another, as nothing has begun.
func (c *hostConn) transact(ctx context.Context, call *call, x exchanged) (
	r reply, result balancer.Result, again bool) {
	stop := context.AfterFunc(ctx, c.close)
	defer func() {
		if stop() && r.reusable {
			c.rest()
		} else {
			c.close()
		}
	}()
	until, _ := ctx.Deadline()
	c.conn.SetWriteDeadline(until) // for every call: that of the call before may be over
	err := x.write(line{c.conn, func() error { return c.settle(ctx, call) }, call.stands})
	if err != nil { // the last byte has not gone out, so the host has not begun it
		c.close()
		if r = call.drop(); r.err == nil && r.result == balancer.Rejected {
			return r, r.result, false
		}
		c.up.hosts.bufs.FreeBody(&r.body)
		if calledOff(ctx) {
			return reply{}, balancer.Cancelled, false
		}
		return reply{}, balancer.ConnectFailed, ctx.Err() == nil && c.reused
	}
	r = call.wait(func(b reply) { // comes at once when ctx ends, as that closes the connection
		if !x.begun(b) {
			b.long.leave()
			c.close()
		}
	})
	switch {
	case r.err == nil:
		return r, r.result, false
	case calledOff(ctx), errors.Is(r.err, errLeft):
		return r, balancer.Cancelled, false
	case ctx.Err() != nil:
		return r, balancer.TimedOut, false
	case r.spoilt:
		return r, balancer.Malformed, false
	}
	return r, balancer.Reset, false
}
