// Package simwire connects the simulator to the balancer. Serve reads batches of events from the simulator, passes each event
// to the balancer instance that it names, and replies with the actions that the instances request. The package only encodes,
// decodes and translates; it makes no balancing decisions.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"beechwing/balancer"
	"beechwing/internal/settings"
)

// Serve reads batches from in and writes one reply for each to out until in ends. It flushes out after every reply.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var (
		s    server
		head [batchHeader]byte
		body []byte
	)
	for batch := 0; ; batch++ {
		if _, err := io.ReadFull(r, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header: %w", batch, err)
		}
		size := binary.LittleEndian.Uint32(head[:])
		now := math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))
		if size > maxBatch || math.IsNaN(now) || math.IsInf(now, 0) {
			return fmt.Errorf("batch %d: header: length %d, clock %v", batch, size, now)
		}
		var err error
		if body, err = readBody(r, body, int(size)); err != nil {
			return fmt.Errorf("batch %d: body of %d bytes: %w", batch, size, err)
		}
		reply, err := s.batch(now, body)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch, err)
		}
	}
}

// readBody reads n bytes into buf and grows buf only as bytes arrive, so that a corrupt length cannot allocate much memory.
func readBody(r io.Reader, buf []byte, n int) ([]byte, error) {
	const step = 1 << 20
	buf = buf[:0]
	for len(buf) < n {
		at := len(buf)
		next := min(n, at+step)
		if next > cap(buf) {
			buf = append(buf, make([]byte, next-at)...)
		}
		buf = buf[:next]
		if _, err := io.ReadFull(r, buf[at:next]); err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// instance is one balancer of this process. It implements balancer.Actions for that balancer by writing action records.
type instance struct {
	proxy uint32
	out   *writer
	bal   *balancer.Balancer
}

// server is the state of the process: the numbered host lists, the instances and the reply in progress.
type server struct {
	lists     [listSlots][]balancer.Host
	instances map[uint32]*instance
	out       writer
	report    []float32 // memory for decoded load reports, reused
}

// batch processes one batch and returns the reply, which is valid until the next call.
func (s *server) batch(now float64, body []byte) ([]byte, error) {
	s.out.buf = append(s.out.buf[:0], 0, 0, 0, 0)
	r := reader{buf: body}
	for record := 0; r.at < len(body); record++ {
		at := r.at
		code := r.u16()
		err := s.event(now, code, &r)
		if err == nil {
			err = r.err
		}
		if err != nil {
			return nil, fmt.Errorf("record %d (code %d) at byte %d: %w", record, code, at, err)
		}
	}
	binary.LittleEndian.PutUint32(s.out.buf, uint32(len(s.out.buf)-replyHeader))
	return s.out.buf, nil
}

// event processes one event record.
func (s *server) event(now float64, code uint16, r *reader) error {
	if code == evCensus {
		return s.census(r)
	}
	if code < evInit || code > evCensus {
		return errors.New("unknown event")
	}
	proxy := r.u32()
	if code == evInit {
		return s.init(now, proxy, r)
	}
	if r.err != nil {
		return r.err
	}
	in, known := s.instances[proxy]
	if !known {
		return fmt.Errorf("instance %d was never started", proxy)
	}
	if code == evShutdown {
		delete(s.instances, proxy)
		return nil
	}
	return s.deliver(now, in.bal, code, r)
}

// census stores a numbered host list.
func (s *server) census(r *reader) error {
	list, n := r.u8(), int(r.u32())
	if r.err != nil {
		return r.err
	}
	if int(list) >= listSlots {
		return fmt.Errorf("list number %d is out of range", list)
	}
	if n > (len(r.buf)-r.at)/entrySize {
		return fmt.Errorf("list of %d entries: %w", n, errShort)
	}
	hosts := make([]balancer.Host, n)
	for i := range hosts {
		hosts[i] = r.entry()
	}
	s.lists[list] = hosts
	return r.err
}

// init starts an instance, or restarts one that has the same number.
func (s *server) init(now float64, proxy uint32, r *reader) error {
	seed := r.u64()
	text := r.take(int(r.u32()))
	if r.err != nil {
		return r.err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return err
	}
	cfg, err := parsed.Config(seed)
	if err != nil {
		return err
	}
	if s.instances == nil {
		s.instances = map[uint32]*instance{}
	}
	in := &instance{proxy: proxy, out: &s.out}
	in.bal = balancer.New(now, cfg, in)
	s.instances[proxy] = in
	return nil
}

// deliver decodes the rest of an instance's event and passes it to the balancer.
func (s *server) deliver(now float64, b *balancer.Balancer, code uint16, r *reader) error {
	switch code {
	case evSync:
		return s.sync(now, b, r)
	case evReq:
		q, err := readRequest(r)
		if err != nil {
			return err
		}
		b.Request(now, q)
	case evEstablished:
		id, attempt := balancer.RequestID(r.u64()), int(r.u8())
		r.host()
		if r.f64(); r.err == nil {
			b.ResponseStarted(now, id, attempt)
		}
	case evCompleted:
		o := balancer.Outcome{ID: balancer.RequestID(r.u64()), Attempt: int(r.u8()), Took: r.f64()}
		o.Host, o.Result, o.Final = r.host(), r.result(), r.u8() != 0
		s.report = r.report(s.report)
		if o.Report = s.report; r.err == nil {
			b.Outcome(now, o)
		}
	case evAbandoned:
		if id := balancer.RequestID(r.u64()); r.err == nil {
			b.ClientLeft(now, id)
		}
	case evDeadlineHit:
		if token := r.u64(); r.err == nil {
			b.Timer(now, token)
		}
	case evChecked:
		p := balancer.ProbeResult{Host: r.host(), Result: r.result(), Took: r.f64()}
		s.report = r.report(s.report)
		if p.Report = s.report; r.err == nil {
			b.Probed(now, p)
		}
	case evWhisper:
		from, data := int(r.u32()), r.take(int(r.u16()))
		if r.err == nil {
			b.PeerMessage(now, from, data)
		}
	}
	return r.err
}

// sync passes a host list, a change to it, or the failure to fetch it to an instance.
func (s *server) sync(now float64, b *balancer.Balancer, r *reader) error {
	scope := r.u8()
	r.u64() // the list's version is not needed: events arrive in order and without gaps
	list := r.u8()
	if r.err != nil {
		return r.err
	}
	if scope > 3 {
		return fmt.Errorf("unknown list scope %d", scope)
	}
	if scope == 3 {
		b.UpdateHosts(now, balancer.ListFailed, nil)
		return nil
	}
	if int(list) >= listSlots {
		return fmt.Errorf("list number %d is out of range", list)
	}
	b.UpdateHosts(now, balancer.ListKind(scope), s.lists[list])
	return nil
}

// readRequest decodes a client request.
func readRequest(r *reader) (balancer.Request, error) {
	q := balancer.Request{ID: balancer.RequestID(r.u64())}
	opts := r.u16()
	q.Budget, q.Work = r.f64(), r.f64()
	q.Tenant, q.Class, q.Key = int(r.u32()), int(r.u8()), r.u64()
	if opts&optWorkHint == 0 {
		q.Work = 0
	}
	q.Repeat = opts&optRepeat != 0
	return q, r.err
}

// Send sends an attempt to a host. Like the methods below, it implements balancer.Actions.
func (in *instance) Send(id balancer.RequestID, host balancer.HostID, timeout float64) {
	in.out.action(actCallOut, in.proxy)
	in.out.u64(uint64(id))
	in.out.host(host)
	in.out.f64(timeout)
}

// Refuse rejects a request with a response that tells the client that a retry is safe.
func (in *instance) Refuse(id balancer.RequestID, coolDown float64) {
	in.out.action(actBounce, in.proxy)
	in.out.u64(uint64(id))
	in.out.f64(coolDown)
}

// Fail ends a request with an error that does not say whether the request was executed.
func (in *instance) Fail(id balancer.RequestID) {
	in.out.action(actEndFailed, in.proxy)
	in.out.u64(uint64(id))
}

// Cancel abandons an attempt.
func (in *instance) Cancel(id balancer.RequestID, attempt int) {
	in.out.action(actUndoSend, in.proxy)
	in.out.u64(uint64(id))
	in.out.buf = append(in.out.buf, byte(attempt))
}

// Probe checks a host.
func (in *instance) Probe(host balancer.HostID) {
	in.out.action(actCheck, in.proxy)
	in.out.host(host)
}

// Timer requests a timer event. The protocol limits the delay to maxTimerWait.
func (in *instance) Timer(after float64, token uint64) {
	in.out.action(actTimer, in.proxy)
	in.out.f64(min(after, maxTimerWait))
	in.out.u64(token)
}

// Watch requests the host list and all later changes to it.
func (in *instance) Watch() {
	in.out.action(actKeepInformed, in.proxy)
	in.out.buf = append(in.out.buf, 1)
}

// Fetch requests the host list once.
func (in *instance) Fetch() { in.out.action(actResolve, in.proxy) }

// Broadcast sends a message to every peer, truncated to the protocol's limit of maxPostBytes.
func (in *instance) Broadcast(data []byte) {
	in.out.action(actPost, in.proxy)
	in.out.buf = binary.LittleEndian.AppendUint16(in.out.buf, allPeers)
	in.out.text(data[:min(len(data), maxPostBytes)])
}

// Log writes a line to the simulator's trace.
func (in *instance) Log(text string) {
	in.out.action(actTrace, in.proxy)
	in.out.text([]byte(text[:min(len(text), math.MaxUint16)]))
}
