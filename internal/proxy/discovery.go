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
	maxListBytes = 4 << 20 // limit for one response

	// The first call of a watch does not wait for changes, so that it shows at once whether the proxy's list is current. Later
	// calls wait (long polling).
	immediateWait              = time.Millisecond
	minWatchWait, maxWatchWait = time.Second, 20 * time.Second
	discoveryDialTimeout       = time.Second
)

// discovery keeps the host list up to date by calls to the discovery service. The balancer requests a watch, which goes on
// until a call fails. In a large fleet the calls of a watch are separated by pauses.
type discovery struct {
	mu            sync.Mutex
	addr          string
	pendingConfig *balancer.Config   // settings to apply when the next session starts; nil: no change
	cancelCalls   context.CancelFunc // ends the current session; nil: no session has started

	bufs          *wire.Pool
	zones         *zoneTable
	times         timing
	watchWait     time.Duration
	budget        *budget.QueryPacer // pauses between calls; used by the goroutine of run only
	hasWatched    bool               // a watch has been started before
	failing       bool               // calls fail, and this has been logged
	log           *zap.Logger
	post          func(event)
	watchRequests chan struct{} // requests for a watch; holds at most one
	fetchRequests chan struct{} // requests to fetch the full list once; holds at most one
	version       uint64        // of the last list passed to the owner
	hasList       bool          // a list has been passed to the owner in this session, or came with the configuration
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

// applyConfig derives the wait of watch calls and the pauses between calls from the settings.
func (d *discovery) applyConfig(c *balancer.Config) {
	wait := seconds(c.AskWithin / 2) // half, so that a silent discovery is detected while the list still counts as current
	if wait <= 0 {
		wait = maxWatchWait
	}
	d.watchWait = min(max(wait, minWatchWait), maxWatchWait)
	d.budget = budget.NewQueryPacer(c.Balancers, seconds(c.AskWithin), c.Seed)
}

// configure applies changed settings. If they affect the calls to discovery, a new session starts, and as in setAddr the
// balancer sees no failure.
func (d *discovery) configure(current, next *balancer.Config) {
	if current.AskWithin == next.AskWithin && current.Balancers == next.Balancers {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingConfig = next
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
}

// signal sends to a channel that holds at most one request, without blocking. A request that is already pending covers this
// one too.
func signal(requests chan struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// setAddr switches to the discovery service at addr. The switch is no failure, so the balancer is not told: it keeps its
// hosts until the new service sends a list, and the watch continues there.
func (d *discovery) setAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	if d.cancelCalls != nil {
		d.cancelCalls()
	}
}

// run processes requests for the list until ctx is cancelled. Each iteration is a session with one address.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.serveRequests(d.newSession(ctx))
		d.hasList = false // the address may have changed, and the new service may number its versions differently
		signal(d.watchRequests)
	}
}

// newSession applies pending settings and returns a context for calls to the current address. Changes of the address or
// the settings cancel it.
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

// serveRequests processes requests for the list until ctx is cancelled.
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

// currentAddr returns the address of the discovery service.
func (d *discovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// fetchOnce fetches the full list on a separate connection.
func (d *discovery) fetchOnce(ctx context.Context) {
	conn, err := d.dial(ctx)
	if err == nil {
		err = d.call(conn, true, 0, d.times.listCallTimeout)
		conn.close()
	}
	d.reportFailure(ctx, err)
}

// watchList calls for changes until a call fails. Without pauses it uses one connection and sends the next call as soon as
// the last response has been passed on, because after a gap of 200 ms discovery would count it as a new watch. The
// connection is closed during a pause, since it might occupy a connection slot of discovery.
//
// A watch that gets no response in time is reported as a failure, but unlike after other failures the next connection is
// tried at once, without waiting for the balancer. Only this one connection may be cut off, and the changes that it failed
// to deliver soon count as known to the proxy.
func (d *discovery) watchList(ctx context.Context) {
	conn, err := (*discoveryConn)(nil), error(nil)
	wait, pause := immediateWait, d.budget.NextDelay()
	if d.hasList && !d.hasWatched { // a proxy without a list must not wait before its first call
		pause = d.budget.FirstDelay()
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
		wait, pause = d.watchWait, d.budget.NextDelay()
		if pause > 0 {
			wait = immediateWait // so that the response time shows how long the call queues at discovery
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
	select { // the failure also answers a request made in the meantime; the balancer decides when to retry
	case <-d.watchRequests:
	default:
	}
	d.reportFailure(ctx, err)
}

// watchCall makes one call of a watch. If the full list has been requested, it fetches that instead, between two calls of
// the watch.
func (d *discovery) watchCall(conn *discoveryConn, wait time.Duration) error {
	select {
	case <-d.fetchRequests:
		return d.call(conn, true, 0, d.times.listCallTimeout)
	default:
	}
	timeout := d.times.listCallTimeout
	if wait > immediateWait {
		timeout = wait + d.times.watchGrace
	}
	return d.call(conn, !d.hasList, wait, timeout)
}

// closeWatch ends a watch before a pause. Discovery expects the next call of a watch within 200 ms of a response, and
// changes in that time count as known to the proxy. Therefore closeWatch makes that call too, and abandons it when the time
// is over without a response.
func (d *discovery) closeWatch(ctx context.Context, conn *discoveryConn) (*discoveryConn, error) {
	for {
		var err error
		if conn, err = d.readyConn(ctx, conn); err != nil {
			return nil, err
		}
		switch err = d.call(conn, false, d.watchWait, d.times.watchHold); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return conn, nil
		case err != nil:
			return conn, err
		}
	}
}

// readyConn returns a connection that can take a call: conn, or a new one if conn is nil or discovery is closing it.
func (d *discovery) readyConn(ctx context.Context, conn *discoveryConn) (*discoveryConn, error) {
	if conn != nil && !conn.closing {
		return conn, nil
	}
	conn.close()
	return d.dial(ctx)
}

// pause waits for the given duration, or until the full list is requested or ctx is cancelled.
func (d *discovery) pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
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

// reportFailure reports a failed call to the owner and logs the first of a series. It does nothing without an error, or
// after ctx has been cancelled.
func (d *discovery) reportFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	d.budget.CallFailed()
	if !d.failing {
		d.failing = true
		d.log.Warn("calls for the list fail, the last one serves on", zap.Error(err))
	}
	d.post(hostListReceived{kind: balancer.ListFailed})
}

// call makes one call, for the full list or for the changes since the current version, and posts the result to the owner.
// It fails if no valid response arrives within the given time.
func (d *discovery) call(conn *discoveryConn, full bool, wait, timeout time.Duration) error {
	path := membersPath
	if !full {
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", membersPath, d.version, wait.Milliseconds())
	}
	began := time.Now()
	text, err := conn.get(d.currentAddr(), path, timeout)
	if line := d.log.Check(zap.DebugLevel, "list call"); line != nil {
		abandoned := timeout == d.times.watchHold && errors.Is(err, os.ErrDeadlineExceeded)
		line.Write(zap.Bool("whole", full), zap.Duration("wait", wait), zap.Duration("took", time.Since(began)),
			zap.Int("bytes", len(text)), zap.Bool("left", abandoned), zap.Error(err))
	}
	if err != nil {
		return err
	}
	c, err := parseCatalog(text, d.zones)
	if err != nil {
		return err
	}
	if full && !c.full {
		return errors.New("changes came where the whole list was asked for")
	}
	if d.hasList && c.full && len(c.hosts) == 0 { // more likely discovery has lost its data than all hosts are gone
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
		d.budget.WatchAnswered()
	} else {
		d.budget.PollAnswered(time.Since(began))
	}
	if d.failing {
		d.failing = false
		d.log.Info("the list is told again", zap.Uint64("version", c.version))
	}
	d.version, d.hasList = c.version, true
	d.post(hostListReceived{kind: kind, list: c})
	return nil
}

// discoveryConn is a connection to the discovery service.
type discoveryConn struct {
	net.Conn
	wire.LimitedReader
	bufs       *wire.Pool
	br         *bufio.Reader
	stopCancel func() bool
	closing    bool // discovery closes the connection after its last response
}

// dial opens a connection that is closed when ctx is cancelled.
func (d *discovery) dial(ctx context.Context) (*discoveryConn, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", d.currentAddr())
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c := &discoveryConn{Conn: nc, LimitedReader: wire.LimitedReader{R: nc}, bufs: d.bufs}
	c.br = c.bufs.Reader(&c.LimitedReader)
	c.stopCancel = context.AfterFunc(ctx, func() { nc.Close() })
	return c, nil
}

// close closes the connection. It does nothing on a nil receiver.
func (c *discoveryConn) close() {
	if c == nil {
		return
	}
	c.stopCancel()
	c.Conn.Close()
	c.bufs.PutReader(c.br)
}

// get makes an HTTP request and returns the body of the response, which must arrive within the given time.
func (c *discoveryConn) get(addr, path string, timeout time.Duration) ([]byte, error) {
	c.SetDeadline(time.Now().Add(timeout))
	c.SetLimit(maxListBytes)
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
