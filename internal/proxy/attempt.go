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

	tally   *tally
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

// write puts the request on a connection, all but its last byte first: a host begins with that one. A connection that
// was dead already, or is reset as the request comes, has told so once settle returns, and nothing has run yet; with
// the last byte out nobody could tell. Without an error all bytes have gone out.
func (a *attempt) write(c net.Conn, settle func() error) error {
	until, _ := a.ctx.Deadline()
	left := time.Until(until)
	if left <= 0 {
		return context.DeadlineExceeded
	}
	q := a.request
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	parts := q.body.parts(net.Buffers{q.head[:q.headed], tail})
	end := len(parts) - 1
	most, last := parts[end][:len(parts[end])-1], parts[end][len(parts[end])-1:]
	parts[end] = most
	if err := a.put(c, parts); err != nil {
		return err
	}
	if err := settle(); err != nil {
		return err
	}
	if err := a.put(c, net.Buffers{last}); err != nil {
		return err
	}
	a.tally.tries.Add(1)
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

// sender writes a message to a connection. One that must not run twice calls settle ahead of its last byte, and stops if
// that fails.
type sender func(c net.Conn, settle func() error) error

// exchange writes a message to a host and reads the answer to it. The result is what the protocol's table makes of it.
//
// Only a connection kept from before that breaks ahead of the message's last byte is replaced, by a new one; whatever
// else breaks is an outcome, and the module decides what follows.
func (u *upstream) exchange(ctx context.Context, write sender) (reply, balancer.Result) {
	for fresh := false; ; {
		c, err := u.connect(ctx, fresh)
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
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
	}
	if _, ended := arrived(c.conn); ended { // its reader may not have come to it yet
		return errBroken
	}
	return nil
}

// transact uses a connection for one call. again says that it is to be tried on another, as nothing has begun.
func (c *hostConn) transact(ctx context.Context, call *call, write sender) (
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
	err := write(c.conn, func() error { return c.settle(ctx, call) })
	if err != nil { // the last byte has not gone out, so the host has not begun it
		c.close()
		if r = <-call.done; r.err == nil && r.result == balancer.TurnedAway {
			return r, r.result, false
		}
		c.up.hosts.bufs.freeBody(&r.body)
		if errors.Is(ctx.Err(), context.Canceled) {
			return reply{}, balancer.Cancelled, false
		}
		return reply{}, balancer.ConnectFailed, ctx.Err() == nil && c.reused
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
