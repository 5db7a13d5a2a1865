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
	membersPath = "/catalog/members"
	maxList     = 4 << 20 // bytes of one answer

	// A first call does not wait: it tells at once whether the list is held. Later ones wait for changes.
	shortWait            = time.Millisecond
	leastWait, mostWait  = time.Second, 20 * time.Second
	discoveryDialTimeout = time.Second
)

// discovery follows the list. The module says when to watch; a watch goes on until a call fails. In a large fleet there are
// pauses between its calls.
type discovery struct {
	mu    sync.Mutex
	addr  string
	by    *balancer.Config   // settings to call by from the next opening on; nil: as before
	leave context.CancelFunc // ends the calls to addr; nil: none have begun

	bufs    *wire.Pool
	zones   *zones
	times   timing
	wait    time.Duration
	budget  *budget.Questions // the goroutine of run has it
	asked   bool              // follow has begun before
	failing bool              // calls fail, and that has been logged
	log     *zap.Logger
	post    func(event)
	watch   chan struct{} // asks for a watch; more than one at a time is one
	fetch   chan struct{} // asks for the whole list once
	version uint64        // of the last list handed on
	held    bool          // there was one
}

func newDiscovery(cfg *Config, bufs *wire.Pool, t timing, log *zap.Logger, post func(event)) *discovery {
	d := &discovery{
		addr: cfg.Discovery, bufs: bufs, times: t, zones: cfg.zones, log: log, post: post,
		watch: make(chan struct{}, 1), fetch: make(chan struct{}, 1),
		version: cfg.Known.version, held: len(cfg.Known.hosts) > 0,
	}
	d.callBy(&cfg.Balancer)
	return d
}

// callBy takes over what the settings say of calls.
func (d *discovery) callBy(c *balancer.Config) {
	wait := seconds(c.AskWithin / 2) // a silent discovery is to be found out while the list still holds
	if wait <= 0 {
		wait = mostWait
	}
	d.wait = min(max(wait, leastWait), mostWait)
	d.budget = budget.NewQuestions(c.Balancers, seconds(c.AskWithin), c.Seed)
}

// configure has other settings followed where they change how calls are made. Like a move it is no failure.
func (d *discovery) configure(was, is *balancer.Config) {
	if was.AskWithin == is.AskWithin && was.Balancers == is.Balancers {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.by = is
	if d.leave != nil {
		d.leave()
	}
}

// ask notes a call for the list; it never blocks. While the same is asked for already there is nothing to add.
func ask(what chan struct{}) {
	select {
	case what <- struct{}{}:
	default:
	}
}

// move makes discovery another service, at addr. That is no failure, so the module is not told: the hosts it knows stay
// until the new service lists others, and the watch goes on there.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	if d.leave != nil {
		d.leave()
	}
}

// run serves calls for the list until ctx ends.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.serve(d.open(ctx))
		d.held = false // it has moved, and the new service may number its versions anew
		ask(d.watch)
	}
}

// open begins the calls to the address at hand.
func (d *discovery) open(ctx context.Context) context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leave != nil {
		d.leave()
	}
	if d.by != nil {
		d.callBy(d.by)
		d.by = nil
	}
	ctx, d.leave = context.WithCancel(ctx)
	return ctx
}

// serve makes the calls that are asked for until ctx ends.
func (d *discovery) serve(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.watch:
			d.follow(ctx)
		case <-d.fetch:
			d.once(ctx)
		}
	}
}

// place is where discovery is now.
func (d *discovery) place() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// once fetches the whole list on a connection of its own.
func (d *discovery) once(ctx context.Context) {
	conn, err := d.dial(ctx)
	if err == nil {
		err = d.call(conn, true, 0, d.times.listCallTimeout)
		conn.close()
	}
	d.failed(ctx, err)
}

// follow asks for changes until a call fails. Without pauses it is one watch on one connection: the next call goes out as
// soon as the last answer is handed on, as after 200 ms the watch would count as a new one. Through a pause no connection is
// kept, since it might hold a place in discovery.
//
// A watch that falls silent is a failure like others, but the next connection is tried without waiting for the module:
// the way to discovery may be cut for this connection only, and what it had to tell soon counts as told.
func (d *discovery) follow(ctx context.Context) {
	conn, err := (*listConn)(nil), error(nil)
	wait, pause := shortWait, d.budget.Pause()
	if d.held && !d.asked { // with nothing to serve with, it cannot wait
		pause = d.budget.First()
	}
	d.asked = true
	for err == nil {
		if pause > 0 {
			conn.close()
			conn = nil
		}
		if err = d.pause(ctx, pause); err != nil {
			break
		}
		if conn, err = d.ready(ctx, conn); err == nil {
			err = d.next(conn, wait)
		}
		silent := errors.Is(err, os.ErrDeadlineExceeded) && wait == d.wait
		wait, pause = d.wait, d.budget.Pause()
		if pause > 0 {
			wait = shortWait // which shows how long the call waits for its turn
			if err == nil {
				conn, err = d.stepOut(ctx, conn)
			}
		}
		if silent {
			d.failed(ctx, err)
			conn.close()
			conn, err = nil, nil
			wait, pause = shortWait, 0
		}
	}
	conn.close()
	select { // a call made meanwhile is answered by the failure; the module decides when to ask again
	case <-d.watch:
	default:
	}
	d.failed(ctx, err)
}

// next makes one call of a watch, or for the whole list where that is asked for: it fits between two.
func (d *discovery) next(conn *listConn, wait time.Duration) error {
	select {
	case <-d.fetch:
		return d.call(conn, true, 0, d.times.listCallTimeout)
	default:
	}
	within := d.times.listCallTimeout
	if wait > shortWait {
		within = wait + d.times.watchGrace
	}
	return d.call(conn, !d.held, wait, within)
}

// stepOut ends a watch ahead of a pause. What changes within 200 ms of an answer counts as told, as if the next call had
// come; so that call is made, and given up unanswered once that time is over.
func (d *discovery) stepOut(ctx context.Context, conn *listConn) (*listConn, error) {
	for {
		var err error
		if conn, err = d.ready(ctx, conn); err != nil {
			return nil, err
		}
		switch err = d.call(conn, false, d.wait, d.times.watchHold); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return conn, nil
		case err != nil:
			return conn, err
		}
	}
}

// ready gives a connection that can take a call: conn, unless there is none or discovery closes it.
func (d *discovery) ready(ctx context.Context, conn *listConn) (*listConn, error) {
	if conn != nil && !conn.spent {
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
	case <-d.fetch:
		ask(d.fetch)
	case <-timer.C:
	}
	return nil
}

func (d *discovery) failed(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.budget.Failed()
	if !d.failing {
		d.failing = true
		d.log.Warn("calls for the list fail, the last one serves on", zap.Error(err))
	}
	d.post(hostListReceived{kind: balancer.ListFailed})
}

// call asks once and hands the answer on.
func (d *discovery) call(conn *listConn, whole bool, wait, within time.Duration) error {
	path := membersPath
	if !whole {
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", membersPath, d.version, wait.Milliseconds())
	}
	began := time.Now()
	text, err := conn.get(d.place(), path, within)
	if line := d.log.Check(zap.DebugLevel, "list call"); line != nil {
		left := within == d.times.watchHold && errors.Is(err, os.ErrDeadlineExceeded)
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
	if d.held && c.full && len(c.hosts) == 0 { // rather a discovery that has lost its data than a site without hosts
		return errors.New("a list without entries that can be used")
	}
	if d.held && c.version < d.version {
		return fmt.Errorf("version %d came after %d", c.version, d.version)
	}
	kind := balancer.ListChanges
	if c.full {
		kind = balancer.ListFull
	}
	if wait > shortWait {
		d.budget.Waited()
	} else {
		d.budget.Answered(time.Since(began))
	}
	if d.failing {
		d.failing = false
		d.log.Info("the list is told again", zap.Uint64("version", c.version))
	}
	d.version, d.held = c.version, true
	d.post(hostListReceived{kind: kind, list: c})
	return nil
}

// listConn is a connection to discovery.
type listConn struct {
	net.Conn
	wire.Meter
	bufs  *wire.Pool
	br    *bufio.Reader
	stop  func() bool
	spent bool // discovery closes it
}

func (d *discovery) dial(ctx context.Context) (*listConn, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", d.place())
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c := &listConn{Conn: nc, Meter: wire.Meter{R: nc}, bufs: d.bufs}
	c.br = c.bufs.Reader(&c.Meter)
	c.stop = context.AfterFunc(ctx, func() { nc.Close() })
	return c, nil
}

// close ends the connection, if there is one.
func (c *listConn) close() {
	if c == nil {
		return
	}
	c.stop()
	c.Conn.Close()
	c.bufs.PutReader(c.br)
}

// get reads one answer whole, within the time given.
func (c *listConn) get(addr, path string, within time.Duration) ([]byte, error) {
	c.SetDeadline(time.Now().Add(within))
	c.Allow(maxList)
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
	c.spent = r.Close
	return text, nil
}
