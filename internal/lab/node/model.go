// Package node implements a test host that speaks the platform's protocol. Model decides how long a request takes, when the
// host turns requests away and when a host that is still warming up crashes from overload; it uses no clock and no I/O. Node
// serves Model on the connections of a link target and records every execution. Times are durations since the start of the
// run.
package node

import (
	"container/list"
	"math"
	"math/rand/v2"
	"time"
)

// Config holds the capacity and the limits of a host.
type Config struct {
	Cores     int
	Work      time.Duration // mean service time of a request on one core
	CV        float64       // coefficient of variation (standard deviation / mean) of the service time, which is lognormal
	Queue     int           // maximum number of waiting requests; more are turned away
	Conns     int           // maximum number of connections; requests on further ones are turned away
	Handshake time.Duration // work that a new connection adds to its first request
	// While SlowAt or more requests wait, work takes SlowBy times as long: contention costs capacity.
	SlowAt int
	SlowBy float64
	// Warm-up: the capacity of a cold host rises linearly from the share ColdFrom to the full capacity within ColdFor. Until
	// then the host crashes if the offered work exceeds FallMultiple times the current capacity for about FallAfter.
	// FallAfter is the time constant of an exponentially weighted average.
	ColdFrom, FallMultiple float64
	ColdFor, FallAfter     time.Duration
	// The host caches the last WarmKeys keys; a request for one of them costs the share WarmShare of the work.
	WarmKeys  int
	WarmShare float64
}

// Model is the state of one host. It is not safe for concurrent use.
type Model struct {
	cfg       Config
	random    *rand.Rand
	Slow      float64   // factor on the duration of all work, for a degraded host
	Errors    []float64 // share of requests that fail, by class index
	Draining  bool      // all new requests are turned away
	started   time.Duration
	cold      bool          // started during the run, and so subject to warm-up
	offered   float64       // moving average of the offered work, in cores
	offeredAt time.Duration // time of the last update of offered
	running   int
	waiting   int
	keys      map[uint64]*list.Element
	recent    *list.List // cached keys, the most recently used first
}

// NewModel returns a host that has finished its warm-up.
func NewModel(c Config, seed uint64) *Model {
	return &Model{cfg: c, random: rand.New(rand.NewPCG(seed, 11)), Slow: 1, keys: map[uint64]*list.Element{}, recent: list.New()}
}

// Start restarts the host cold, with no requests and an empty key cache.
func (m *Model) Start(now time.Duration) {
	m.started, m.cold, m.offered, m.offeredAt = now, true, 0, now
	m.running, m.waiting, m.Draining = 0, 0, false
	clear(m.keys)
	m.recent.Init()
}

// Warmth returns the current share of the full capacity, below 1 during warm-up.
func (m *Model) Warmth(now time.Duration) float64 {
	age := now - m.started
	if !m.cold || m.cfg.ColdFor <= 0 || age >= m.cfg.ColdFor {
		return 1
	}
	return m.cfg.ColdFrom + (1-m.cfg.ColdFrom)*float64(age)/float64(m.cfg.ColdFor)
}

// Job is the cost and the outcome of one request.
type Job struct {
	work float64 // seconds on one core of a warm host without slowdown
	Fail bool    // the request will be answered with an error
}

// Arrive registers a request. newConn marks the first request of a connection. turnedAway reports that the host rejects
// the request, and crashes that the request overloads a cold host, which then crashes.
func (m *Model) Arrive(now time.Duration, class int, key uint64, newConn bool) (j Job, turnedAway, crashes bool) {
	j.work = m.sampleWork()
	if m.touchKey(key) {
		j.work *= m.cfg.WarmShare
	}
	if newConn {
		j.work += m.cfg.Handshake.Seconds()
	}
	j.Fail = class < len(m.Errors) && m.random.Float64() < m.Errors[class]
	if m.Draining || m.waiting >= m.cfg.Queue {
		return j, true, false
	}
	return j, false, m.overloaded(now, j.work)
}

// overloaded adds work to the moving average of offered work and reports whether the average overloads a cold host.
func (m *Model) overloaded(now time.Duration, work float64) bool {
	span := m.cfg.FallAfter.Seconds()
	if span <= 0 || m.cfg.FallMultiple <= 0 {
		return false
	}
	m.offered = m.offered*math.Exp(-(now-m.offeredAt).Seconds()/span) + work/span
	m.offeredAt = now
	warmth := m.Warmth(now)
	return warmth < 1 && m.offered > m.cfg.FallMultiple*warmth*float64(m.cfg.Cores)
}

// sampleWork returns the work of one request in seconds, from the lognormal distribution of Config.Work and Config.CV.
func (m *Model) sampleWork() float64 {
	sigma := math.Sqrt(math.Log(1 + m.cfg.CV*m.cfg.CV))
	return m.cfg.Work.Seconds() * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
}

// touchKey reports whether the key is cached, and makes it the most recently used one.
func (m *Model) touchKey(key uint64) bool {
	if m.cfg.WarmKeys == 0 || key == 0 {
		return false
	}
	if e := m.keys[key]; e != nil {
		m.recent.MoveToFront(e)
		return true
	}
	m.keys[key] = m.recent.PushFront(key)
	if m.recent.Len() > m.cfg.WarmKeys {
		last := m.recent.Back()
		delete(m.keys, m.recent.Remove(last).(uint64))
	}
	return false
}

// AcquireCore takes a core and returns true if one is free; else it counts the request as waiting and returns false.
func (m *Model) AcquireCore() bool {
	if m.running < m.cfg.Cores {
		m.running++
		return true
	}
	m.waiting++
	return false
}

// LeaveQueue removes a waiting request that was abandoned.
func (m *Model) LeaveQueue() { m.waiting-- }

// ReleaseCore releases a core. It returns true if the core passes on to a waiting request.
func (m *Model) ReleaseCore() bool {
	if m.waiting > 0 {
		m.waiting--
		return true
	}
	m.running--
	return false
}

// RunTime returns how long a job that begins now will run.
func (m *Model) RunTime(now time.Duration, j Job) time.Duration {
	slow := m.Slow
	if m.cfg.SlowBy > 1 && m.waiting >= m.cfg.SlowAt {
		slow *= m.cfg.SlowBy
	}
	return time.Duration(j.work * slow / m.Warmth(now) * float64(time.Second))
}
