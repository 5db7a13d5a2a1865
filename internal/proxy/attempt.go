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

// attempt is one attempt to get a request answered by a host.
type attempt struct {
	request *request
	number  int
	host    balancer.HostID
	zone    string  // of the host, if zones are observed; used by the owner only
	sentAt  float64 // on the owner's clock
	ended   bool    // its result has been processed; used by the owner only

	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline time.Time     // when the attempt times out; for a long body, set once its last byte has arrived
	timeout  time.Duration // limit set by the balancer, for an attempt with a long body; 0: none
	timer    *time.Timer   // cancels the attempt at the deadline

	responseStartedAt float64 // when its response started to go to the client; 0: not yet. Used by the owner only
	response          *stream // that response. Used by the owner only

	post    func(event)
	tally   *requestStats
	writeMu sync.Mutex // held while bytes are written
}

// run sends the request and waits for the response. It returns exactly one result and never sends the complete
// request twice.
func (a *attempt) run(up *upstream) attemptEnded {
	defer a.cancel(nil)
	defer a.stopTimer()
	r, result := up.exchange(a.ctx, a)
	return attemptEnded{attempt: a, result: result, response: r}
}

// abort cancels an attempt that is under way, and reports whether it was. Only the owner calls it.
func (a *attempt) abort() bool {
	if a.ended || a.cancel == nil { // it has ended, or was never sent
		return false
	}
	a.cancel(nil)
	return true
}

// setDeadline makes the attempt time out at the given time.
func (a *attempt) setDeadline(until time.Time) {
	a.deadline = until
	a.timer = time.AfterFunc(time.Until(until), func() { a.cancel(context.DeadlineExceeded) })
}

// stopTimer removes the deadline. It returns false if the deadline has already passed.
func (a *attempt) stopTimer() bool { return a.timer == nil || a.timer.Stop() }

// aborted reports whether a context was cancelled for another reason than a timeout.
func aborted(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// responseStarted takes the first part of a long response. From here on the deadline no longer applies; the attempt
// ends only if one of the two peers stops making progress. It returns false if the deadline has already passed.
func (a *attempt) responseStarted(r hostResponse) bool {
	if !a.stopTimer() {
		return false
	}
	a.post(responseStarted{a, r})
	return true
}

// awaitWrites returns once no further byte of the attempt can be written. The attempt has been aborted before.
func (a *attempt) awaitWrites() {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
}

// write sends the request on a connection. The last byte is held back, because a host starts to process the request
// only when it has that byte. If the connection was already dead, or the host resets it on the first bytes,
// confirmAlive detects this, and it is certain that the request has not run. Once the last byte has been sent, a failure
// no longer shows whether the request ran. Without an error, all bytes have been written.
func (a *attempt) write(l messageConn) error {
	q := a.request
	if q.upload != nil {
		return a.writeLongRequest(l)
	}
	left := time.Until(a.deadline)
	if left <= 0 {
		return context.DeadlineExceeded
	}
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	parts := q.body.AppendTo(net.Buffers{q.head[:q.headLen], tail})
	end := len(parts) - 1
	most, last := parts[end][:len(parts[end])-1], parts[end][len(parts[end])-1:]
	parts[end] = most
	if err := a.writeParts(l, parts); err != nil {
		return err
	}
	if err := l.confirmAlive(); err != nil {
		return err
	}
	if err := a.writeParts(l, net.Buffers{last}); err != nil {
		return err
	}
	a.tally.attempts.Add(1)
	return nil
}

// writeParts writes to the connection, unless the attempt has been aborted.
func (a *attempt) writeParts(c net.Conn, parts net.Buffers) error {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	if err := a.ctx.Err(); err != nil {
		return err
	}
	_, err := parts.WriteTo(c)
	return err
}

// messageConn is a connection to a host, as used for one message. A message that must not run twice calls confirmAlive
// before its last byte and stops if that fails. A long message calls checkOpen between its parts, since the host may
// already have responded.
type messageConn struct {
	net.Conn
	confirmAlive, checkOpen func() error
}

// hostMessage is a message to a host. responseStarted is called with the first part of a long response and reports
// whether the response is wanted.
type hostMessage interface {
	write(l messageConn) error
	responseStarted(r hostResponse) bool
}

// exchange sends a message to a host and reads the response. The result follows from the status and headers of the
// response as the protocol defines.
//
// If a reused connection breaks before the last byte of the message, exchange repeats the message on a new connection.
// Any other failure is returned as the result, and the balancer decides what follows.
func (u *upstream) exchange(ctx context.Context, x hostMessage) (hostResponse, balancer.Result) {
	for fresh := false; ; {
		c, err := u.connect(ctx, fresh)
		if err != nil {
			if aborted(ctx) {
				return hostResponse{}, balancer.Cancelled
			}
			return hostResponse{}, balancer.ConnectFailed
		}
		call := newCall()
		if !c.startCall(call) {
			continue // the host has closed it while it was idle
		}
		r, result, again := c.transact(ctx, call, x)
		if !again {
			return r, result
		}
		fresh = true // other idle connections may be dead as well
	}
}

var errBroken = errors.New("the connection broke before the last byte was sent")

// confirmAlive waits long enough for a reset from the host to arrive, which takes a round trip, and fails if the
// connection is broken or the host has already responded.
func (c *hostConn) confirmAlive(ctx context.Context, call *call) error {
	wait := time.NewTimer(c.upstream.pool.lastByteDelay)
	defer wait.Stop()
	select {
	case r := <-call.done:
		call.done <- r // the channel has a buffer of one
		return errBroken
	case b := <-call.started:
		call.started <- b
		return errBroken
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
	}
	if _, ended := wire.Pending(c.conn); ended { // the reading goroutine may not have run yet
		return errBroken
	}
	return nil
}

// transact uses a connection for one call. again reports that the message should be sent on another connection, since
// the host has not started to process it.
func (c *hostConn) transact(ctx context.Context, call *call, x hostMessage) (
	r hostResponse, result balancer.Result, again bool) {
	stop := context.AfterFunc(ctx, c.close)
	defer func() {
		if stop() && r.reusable {
			c.release()
		} else {
			c.close()
		}
	}()
	until, _ := ctx.Deadline()
	c.conn.SetWriteDeadline(until) // set for every call: the deadline of the last one may have passed
	err := x.write(messageConn{c.conn, func() error { return c.confirmAlive(ctx, call) }, call.checkOpen})
	if err != nil { // the last byte has not been sent, so the host has not started
		c.close()
		if r = call.discard(); r.err == nil && r.result == balancer.Rejected {
			return r, r.result, false
		}
		c.upstream.pool.bufs.FreeBody(&r.body)
		if aborted(ctx) {
			return hostResponse{}, balancer.Cancelled, false
		}
		return hostResponse{}, balancer.ConnectFailed, ctx.Err() == nil && c.reused
	}
	r = call.wait(func(b hostResponse) { // returns at once when ctx ends, since that closes the connection
		if !x.responseStarted(b) {
			b.stream.abandon()
			c.close()
		}
	})
	switch {
	case r.err == nil:
		return r, r.result, false
	case aborted(ctx), errors.Is(r.err, errAbandoned):
		return r, balancer.Cancelled, false
	case ctx.Err() != nil:
		return r, balancer.TimedOut, false
	case r.malformed:
		return r, balancer.Malformed, false
	}
	return r, balancer.Reset, false
}
