package balancer

import "slices"

// event is one recorded action.
type event struct {
	kind    string
	id      RequestID
	host    HostID
	timeout float64
}

// recorder is the host program of a test. It records actions and keeps timers.
type recorder struct {
	now         float64
	log         []event
	timers      []pendingTimer
	sends       map[RequestID]int
	watchCalls  int
	lastMessage []byte // the last message to peers
}

type pendingTimer struct {
	at    float64
	token uint64
}

func (r *recorder) Send(id RequestID, h HostID, t float64) {
	r.sends[id]++
	r.log = append(r.log, event{"send", id, h, t})
}
func (r *recorder) Refuse(id RequestID, _ float64) {
	r.log = append(r.log, event{kind: "refuse", id: id})
}
func (r *recorder) Fail(id RequestID)          { r.log = append(r.log, event{kind: "fail", id: id}) }
func (r *recorder) Cancel(id RequestID, _ int) { r.log = append(r.log, event{kind: "cancel", id: id}) }
func (r *recorder) Probe(h HostID)             { r.log = append(r.log, event{kind: "probe", host: h}) }
func (r *recorder) Timer(after float64, token uint64) {
	r.timers = append(r.timers, pendingTimer{r.now + after, token})
}
func (r *recorder) Watch() { r.watchCalls++ }
func (r *recorder) Fetch() {}
func (r *recorder) Broadcast(data []byte) {
	r.lastMessage = slices.Clone(data)
}
func (r *recorder) Log(string) {}

// count returns how many actions of a kind were recorded.
func (r *recorder) count(kind string) (n int) {
	for _, e := range r.log {
		if e.kind == kind {
			n++
		}
	}
	return n
}

// last returns the newest action.
func (r *recorder) last() event {
	if len(r.log) == 0 {
		return event{}
	}
	return r.log[len(r.log)-1]
}

// advance moves the clock and delivers the timers that expire.
func (r *recorder) advance(b *Balancer, to float64) {
	for {
		next := -1
		for i, p := range r.timers {
			if p.at <= to && (next < 0 || p.at < r.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := r.timers[next]
		r.timers = slices.Delete(r.timers, next, next+1)
		r.now = max(r.now, p.at)
		b.Timer(r.now, p.token)
	}
	r.now = to
}

func testConfig() Config {
	return Config{
		Seed: 7, Balancers: 3, OverShareWorth: 0.2, WorthByWork: true,
		Classes: []Class{
			{Aim: 2, Deadline: 8, Worth: 1, LateWorth: 0.5, Effect: Safe},
			{Aim: 2, Deadline: 8, Worth: 6, LateWorth: 0.5, Effect: Unsafe},
			{Aim: 2, Deadline: 8, Worth: 6, LateWorth: 0.5, Effect: Keyed, Group: GroupZone, Window: 3},
			{Aim: 2, Deadline: 8, Worth: 6, LateWorth: 0.5, Effect: Keyed, Group: GroupAll, Window: 3},
		},
		AskForList: true, MaxAttempts: 4, SecondCopies: true, Cancelling: true, AskWithin: 20, DrainGrace: 1,
		ColdFrom: 0.25, ColdFor: 10, FallMultiple: 2, FallAfter: 1, MaxCoolDown: 1,
	}
}

// fleet returns n ready hosts, alternating between two zones and in cells of three.
func fleet(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{ID: HostID(100 + i), Zone: i % 2, Cell: i / 3, Status: Ready}
	}
	return hosts
}

func startBalancer(cfg Config, hosts []Host) (*Balancer, *recorder) {
	r := &recorder{now: 50, sends: map[RequestID]int{}}
	b := New(r.now, cfg, r)
	b.UpdateHosts(r.now, ListFull, hosts)
	return b, r
}

// request sends a request and returns the host it was sent to, or 0.
func (r *recorder) request(b *Balancer, id RequestID, class int, key uint64) HostID {
	b.Request(r.now, Request{ID: id, Class: class, Key: key, Work: 0.1, Budget: 8})
	if e := r.last(); e.kind == "send" && e.id == id {
		return e.host
	}
	return 0
}

// end ends an attempt with a result.
func (r *recorder) end(b *Balancer, id RequestID, attempt int, h HostID, res Result) {
	b.Outcome(r.now, Outcome{ID: id, Attempt: attempt, Host: h, Result: res, Took: 0.1, Final: res == OK})
}
