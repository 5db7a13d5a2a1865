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
)

const (
	membersPath = "/catalog/members"
	maxList     = 4 << 20 // bytes of one answer

	// A first call does not wait: it tells at once whether the list is held. Later ones wait for changes.
	shortWait            = time.Millisecond
	leastWait, mostWait  = time.Second, 20 * time.Second
	discoveryDialTimeout = time.Second
)

// discovery follows the list. The module says when to watch; a watch goes on until a call fails.
type discovery struct {
	mu    sync.Mutex
	addr  string
	leave context.CancelFunc // ends the calls to addr; nil: none have begun

	bufs    *pool
	zones   []string
	times   timing
	wait    time.Duration
	log     *zap.Logger
	post    func(event)
	watch   chan struct{} // asks for a watch; more than one at a time is one
	fetch   chan struct{} // asks for the whole list once
	version uint64        // of the last list handed on
	held    bool          // there was one
}

func newDiscovery(cfg *Config, bufs *pool, t timing, log *zap.Logger, post func(event)) *discovery {
	wait := seconds(cfg.Balancer.AskWithin / 2) // a silent discovery is to be found out while the list still holds
	if wait <= 0 {
		wait = mostWait
	}
	return &discovery{
		addr: cfg.Discovery, bufs: bufs, times: t, zones: cfg.Settings.Dcs, log: log, post: post,
		wait:  min(max(wait, leastWait), mostWait),
		watch: make(chan struct{}, 1), fetch: make(chan struct{}, 1),
		version: cfg.Known.version, held: len(cfg.Known.hosts) > 0,
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
		err = d.call(conn, true, 0)
		conn.close()
	}
	d.failed(ctx, err)
}

// follow keeps a watch up on one connection until a call fails. The next call goes out as soon as the last answer is
// handed on: after 200 ms the watch would count as a new one.
//
// A watch that falls silent is a failure like others, but the next connection is tried without waiting for the module:
// the way to discovery may be cut for this connection only, and what it had to tell soon counts as told.
func (d *discovery) follow(ctx context.Context) {
	conn, err := d.dial(ctx)
	for wait := shortWait; err == nil; {
		select {
		case <-d.fetch: // the whole list fits between two calls of a watch
			err = d.call(conn, true, 0)
		default:
			err = d.call(conn, !d.held, wait)
		}
		silent := errors.Is(err, os.ErrDeadlineExceeded) && wait == d.wait
		wait = d.wait
		if silent {
			d.failed(ctx, err)
			wait = shortWait
		}
		if conn.spent || err != nil {
			conn.close()
		}
		if silent || conn.spent && err == nil {
			conn, err = d.dial(ctx)
		}
	}
	select { // a call made meanwhile is answered by the failure; the module decides when to ask again
	case <-d.watch:
	default:
	}
	d.failed(ctx, err)
}

func (d *discovery) failed(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.log.Warn("call for the list failed", zap.Error(err))
	d.post(members{kind: balancer.ListFailed})
}

// call asks once and hands the answer on.
func (d *discovery) call(conn *listConn, whole bool, wait time.Duration) error {
	path := membersPath
	if !whole {
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", membersPath, d.version, wait.Milliseconds())
	}
	within := d.times.call
	if wait > shortWait {
		within = wait + d.times.watch
	}
	text, err := conn.get(d.place(), path, within)
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
	if d.held && c.version < d.version {
		return fmt.Errorf("version %d came after %d", c.version, d.version)
	}
	kind := balancer.ListChanges
	if c.full {
		kind = balancer.ListFull
	}
	d.version, d.held = c.version, true
	d.post(members{kind: kind, list: c})
	return nil
}

// listConn is a connection to discovery.
type listConn struct {
	net.Conn
	meter
	bufs  *pool
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
	c := &listConn{Conn: nc, meter: meter{r: nc}, bufs: d.bufs}
	c.br = c.bufs.reader(&c.meter)
	c.stop = context.AfterFunc(ctx, func() { nc.Close() })
	return c, nil
}

func (c *listConn) close() {
	c.stop()
	c.Conn.Close()
	c.bufs.putReader(c.br)
}

// get reads one answer whole, within the time given.
func (c *listConn) get(addr, path string, within time.Duration) ([]byte, error) {
	c.SetDeadline(time.Now().Add(within))
	c.allow(maxList)
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
