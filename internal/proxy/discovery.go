package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/budget"
	"beechwing/internal/wire"
)

const (
	membersPath  = "/catalog/members"
	maxListBytes = 4 << 20 // bytes of one answer

	// A first call does not wait: it tells at once whether the list is held. Later ones wait for changes.
	immediateWait              = time.Millisecond
	minWatchWait, maxWatchWait = time.Second, 20 * time.Second
	discoveryDialTimeout       = time.Second
)

// discovery follows the list. The module says when to watch; a watch goes on until a call fails. In a large fleet there are
// pauses between its calls.
type discovery struct {
	mu            sync.Mutex
	addr          string
	pendingConfig *balancer.Config   // settings to call by from the next opening on; nil: as before
	cancelCalls   context.CancelFunc // ends the calls to addr; nil: none have begun

	bufs          *wire.Pool
	zones         *zoneTable
	times         timing
	watchWait     time.Duration
	budget        *budget.Questions // the goroutine of run has it
	hasWatched    bool              // follow has begun before
	failing       bool              // calls fail, and that has been logged
	log           *zap.Logger
	post          func(event)
	watchRequests chan struct{} // asks for a watch; more than one at a time is one
	fetchRequests chan struct{} // asks for the whole list once
	version       uint64        // of the last list handed on
	hasList       bool          // there was one
}

func newDiscovery(cfg *Config, bufs *wire.Pool, t timing, log *zap.Logger, post func(event)) *discovery {
	d := &discovery{
		addr: cfg.Discovery, bufs: bufs, times: t, zones: cfg.zones, log: log, post: post,
		watchRequests: make(chan struct{}, 1), fetchRequests: make(chan struct{}, 1),
		version: cfg.Known.version, hasList: len(cfg.Known.hosts) > 0,
	}
	d.applyConfig(&cfg.Balancer)
	return d
}

// callBy takes over what the settings say of calls.
func (d *discovery) applyConfig(c *balancer.Config) {
	wait := seconds(c.AskWithin / 2) // a silent discovery is to be found out while the list still holds
	if wait <= 0 {
		wait = maxWatchWait
	}
	d.watchWait = min(max(wait, minWatchWait), maxWatchWait)
	d.budget = budget.NewQuestions(c.Balancers, seconds(c.AskWithin), c.Seed)
}

// configure has other settings followed where they change how calls are made. Like a move it is no failure.
func (d *discovery) configure(was, is *balancer.Config) {
	if was.AskWithin == is.AskWithin && was.Balancers == is.Balancers {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingConfig = is
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
}

// ask notes a call for the list; it never blocks. While the same is asked for already there is nothing to add.
func signal(what chan struct{}) {
	select {
	case what <- struct{}{}:
	default:
	}
}

// move makes discovery another service, at addr. That is no failure, so the module is not told: the hosts it knows stay
// until the new service lists others, and the watch goes on there.
func (d *discovery) setAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
}

// run serves calls for the list until ctx ends.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.serveRequests(d.newSession(ctx))
		d.hasList = false // it has moved, and the new service may number its versions anew
		signal(d.watchRequests)
	}
}

// open begins the calls to the address at hand.
func (d *discovery) newSession(ctx context.Context) context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
	if d.pendingConfig != nil {
		d.applyConfig(d.pendingConfig)
		d.pendingConfig = nil
	}
	ctx, d.cancelCalls = context.WithCancel(ctx)
	return ctx
}

// serve makes the calls that are asked for until ctx ends.
func (d *discovery) serveRequests(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.watchRequests:
			d.watchList(ctx)
		case <-d.fetchRequests:
			d.fetchOnce(ctx)
		}
	}
}

// place is where discovery is now.
func (d *discovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// once fetches the whole list on a connection of its own.
func (d *discovery) fetchOnce(ctx context.Context) {
	conn, err := d.dial(ctx)
	if err == nil {
		err = d.call(conn, true, 0, d.times.call)
		conn.close()
	}
	d.reportFailure(ctx, err)
}

// follow asks for changes until a call fails. Without pauses it is one watch on one connection: the next call goes out as
// soon as the last answer is handed on, as after 200 ms the watch would count as a new one. Through a pause no connection is
// kept, since it might hold a place in discovery.
//
// A watch that falls silent is a failure like others, but the next connection is tried without waiting for the module:
// the way to discovery may be cut for this connection only, and what it had to tell soon counts as told.
func (d *discovery) watchList(ctx context.Context) {
	conn, err := (*discoveryConn)(nil), error(nil)
	wait, pause := immediateWait, d.budget.Pause()
	if d.hasList && !d.hasWatched { // with nothing to serve with, it cannot wait
		pause = d.budget.First()
	}
	d.hasWatched = true
	for err == nil {
		if pause > 0 {
			conn.close()
			conn = nil
		}
		if err = d.pause(ctx, pause); err != nil {
			break
		}
		if conn, err = d.readyConn(ctx, conn); err == nil {
			err = d.watchCall(conn, wait)
		}
		silent := errors.Is(err, os.ErrDeadlineExceeded) && wait == d.watchWait
		wait, pause = d.watchWait, d.budget.Pause()
		if pause > 0 {
			wait = immediateWait // which shows how long the call waits for its turn
			if err == nil {
				conn, err = d.closeWatch(ctx, conn)
			}
		}
		if silent {
			d.reportFailure(ctx, err)
			conn.close()
			conn, err = nil, nil
			wait, pause = immediateWait, 0
		}
	}
	conn.close()
	select { // a call made meanwhile is answered by the failure; the module decides when to ask again
	case <-d.watchRequests:
	default:
	}
	d.reportFailure(ctx, err)
}

// next makes one call of a watch, or for the whole list where that is asked for: it fits between two.
func (d *discovery) watchCall(conn *discoveryConn, wait time.Duration) error {
	select {
	case <-d.fetchRequests:
		return d.call(conn, true, 0, d.times.call)
	default:
	}
	within := d.times.call
	if wait > immediateWait {
		within = wait + d.times.watch
	}
	return d.call(conn, !d.hasList, wait, within)
}

// stepOut ends a watch ahead of a pause. What changes within 200 ms of an answer counts as told, as if the next call had
// come; so that call is made, and given up unanswered once that time is over.
func (d *discovery) closeWatch(ctx context.Context, conn *discoveryConn) (*discoveryConn, error) {
	for {
		var err error
		if conn, err = d.readyConn(ctx, conn); err != nil {
			return nil, err
		}
		switch err = d.call(conn, false, d.watchWait, d.times.stepOut); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return conn, nil
		case err != nil:
			return conn, err
		}
	}
}

// ready gives a connection that can take a call: conn, unless there is none or discovery closes it.
func (d *discovery) readyConn(ctx context.Context, conn *discoveryConn) (*discoveryConn, error) {
	if conn != nil && !conn.closing {
		return conn, nil
	}
	conn.close()
	return d.dial(ctx)
}

// pause waits. Whoever wants the whole list meanwhile waits no longer.
func (d *discovery) pause(ctx context.Context, long time.Duration) error {
	if long <= 0 {
		return nil
	}
	timer := time.NewTimer(long)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.fetchRequests:
		signal(d.fetchRequests)
	case <-timer.C:
	}
	return nil
}

func (d *discovery) reportFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.budget.Failed()
	if !d.failing {
		d.failing = true
		d.log.Warn("calls for the list fail, the last one serves on", zap.Error(err))
	}
	d.post(members{kind: balancer.ListFailed})
}

// call asks once and hands the answer on.
func (d *discovery) call(conn *discoveryConn, whole bool, wait, within time.Duration) error {
	path := membersPath
	if !whole {
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", membersPath, d.version, wait.Milliseconds())
	}
	began := time.Now()
	text, err := conn.get(d.currentAddr(), path, within)
	if line := d.log.Check(zap.DebugLevel, "list call"); line != nil {
		left := within == d.times.stepOut && errors.Is(err, os.ErrDeadlineExceeded)
		line.Write(zap.Bool("whole", whole), zap.Duration("wait", wait), zap.Duration("took", time.Since(began)),
			zap.Int("bytes", len(text)), zap.Bool("left", left), zap.Error(err))
	}
	if err != nil {
		return err
	}
	c, err := parseCatalog(text, d.zones)
	if err != nil {
		return err
	}
	if whole && !c.full {
		return errors.New("changes came where the whole list was asked for")
	}
	if d.hasList && c.full && len(c.hosts) == 0 { // rather a discovery that has lost its data than a site without hosts
		return errors.New("a list without entries that can be used")
	}
	if d.hasList && c.version < d.version {
		return fmt.Errorf("version %d came after %d", c.version, d.version)
	}
	kind := balancer.ListChanges
	if c.full {
		kind = balancer.ListFull
	}
	if wait > immediateWait {
		d.budget.Waited()
	} else {
		d.budget.Answered(time.Since(began))
	}
	if d.failing {
		d.failing = false
		d.log.Info("the list is told again", zap.Uint64("version", c.version))
	}
	d.version, d.hasList = c.version, true
	d.post(members{kind: kind, list: c})
	return nil
}

// listConn is a connection to discovery.
type discoveryConn struct {
	net.Conn
	wire.Meter
	bufs       *wire.Pool
	br         *bufio.Reader
	stopCancel func() bool
	closing    bool // discovery closes it
}

func (d *discovery) dial(ctx context.Context) (*discoveryConn, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", d.currentAddr())
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c := &discoveryConn{Conn: nc, Meter: wire.Meter{R: nc}, bufs: d.bufs}
	c.br = c.bufs.Reader(&c.Meter)
	c.stopCancel = context.AfterFunc(ctx, func() { nc.Close() })
	return c, nil
}

// close ends the connection, if there is one.
func (c *discoveryConn) close() {
	if c == nil {
		return
	}
	c.stopCancel()
	c.Conn.Close()
	c.bufs.PutReader(c.br)
}

// get reads one answer whole, within the time given.
func (c *discoveryConn) get(addr, path string, within time.Duration) ([]byte, error) {
	c.SetDeadline(time.Now().Add(within))
	c.Allow(maxListBytes)
	if _, err := fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %d", r.StatusCode)
	}
	c.closing = r.Close
	return text, nil
}
