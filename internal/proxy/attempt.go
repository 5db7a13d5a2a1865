package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"beechwing/balancer"
)

// attempt is one sending of a request to a host.
type attempt struct {
	request *request
	number  int
	host    balancer.HostID
	sent    float64 // on the owner's clock
	over    bool    // its outcome has come; the owner's

	ctx    context.Context
	cancel context.CancelFunc

	writing sync.Mutex // held while bytes go out
}

// run sends the request and waits for what comes back. It makes exactly one outcome, and never sends twice.
func (a *attempt) run(up *upstream) outcome {
	defer a.cancel()
	r, result := up.exchange(a.ctx, a.write)
	return outcome{attempt: a, result: result, reply: r}
}

// callOff ends an attempt that is under way, and says whether it was. The owner calls it.
func (a *attempt) callOff() bool {
	if a.over || a.cancel == nil { // it has ended, or never went out
		return false
	}
	a.cancel()
	return true
}

// quiet returns when no byte of the attempt can go out any more. The attempt has been called off before.
func (a *attempt) quiet() {
	a.writing.Lock()
	defer a.writing.Unlock()
}

// write puts the request on a connection. It says whether any byte has gone out; without an error, all have.
func (a *attempt) write(c net.Conn) (began bool, err error) {
	a.writing.Lock()
	defer a.writing.Unlock()
	if err := a.ctx.Err(); err != nil {
		return false, err
	}
	until, _ := a.ctx.Deadline()
	left := time.Until(until)
	if left <= 0 {
		return false, context.DeadlineExceeded
	}
	q := a.request
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	parts := q.body.parts(net.Buffers{q.head[:q.headed], tail})
	n, err := parts.WriteTo(c)
	return n > 0, err
}

// exchange writes a message to a host and reads the answer to it. The result is what the protocol's table makes of it.
//
// Only a connection on which nothing has been written is replaced by another; whatever else breaks is an outcome, and
// the module decides what follows.
func (u *upstream) exchange(ctx context.Context, write func(net.Conn) (bool, error)) (reply, balancer.Result) {
	for {
		c, err := u.connect(ctx)
		if err != nil {
			if errors.Is(ctx.Err(), context.Canceled) {
				return reply{}, balancer.Cancelled
			}
			return reply{}, balancer.ConnectFailed
		}
		call := newCall()
		if !c.begin(call) {
			continue // the host closed it while it was idle
		}
		r, result, again := c.transact(ctx, call, write)
		if !again {
			return r, result
		}
	}
}

// transact uses a connection for one call. again says that the connection proved dead before any byte went out.
func (c *hostConn) transact(ctx context.Context, call *call, write func(net.Conn) (bool, error)) (
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
	began, err := write(c.conn)
	if err != nil { // the last byte has not gone out, so the host has not begun it
		c.close()
		if r = <-call.done; r.err == nil && r.result == balancer.TurnedAway {
			return r, r.result, false
		}
		c.up.hosts.bufs.freeBody(&r.body)
		if errors.Is(ctx.Err(), context.Canceled) {
			return reply{}, balancer.Cancelled, false
		}
		return reply{}, balancer.ConnectFailed, !began && ctx.Err() == nil && c.reused
	}
	r = <-call.done // comes at once when ctx ends, as that closes the connection
	switch {
	case r.err == nil:
		return r, r.result, false
	case errors.Is(ctx.Err(), context.Canceled):
		return r, balancer.Cancelled, false
	case ctx.Err() != nil:
		return r, balancer.TimedOut, false
	case r.spoilt:
		return r, balancer.Spoilt, false
	}
	return r, balancer.Reset, false
}
