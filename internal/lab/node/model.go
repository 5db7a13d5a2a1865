// Package node is the stand-in for a host of the platform's protocol. How long work takes, when a host turns work away and
// when a cold one falls over is decided by Model, without clock or I/O; Node puts it on connections and records what it
// sees. Times are durations since the run's start.
package node

import (
	"container/list"
	"math"
	"math/rand/v2"
	"time"
)

// Config is what a host is like.
type Config struct {
	Cores     int
	Work      time.Duration // mean of a request
	CV        float64       // its spread: standard deviation by mean, of a lognormal distribution
	Queue     int           // requests that may wait; more are turned away
	Conns     int           // connections held; more are turned away
	Handshake time.Duration // work that a new connection costs, on its first request
	// From SlowAt requests waiting on, work takes SlowBy times as long: crowding costs.
	SlowAt int
	SlowBy float64
	// Cold: capacity starts at ColdFrom and is whole after ColdFor. Work that comes faster than FallMultiple times the
	// present capacity for about FallAfter pushes the host over.
	ColdFrom, FallMultiple float64
	ColdFor, FallAfter     time.Duration
	// WarmKeys: the last so many keys cost WarmShare of the work.
	WarmKeys  int
	WarmShare float64
}

// Model is one host's state. It is not safe for use by several goroutines.
type Model struct {
	cfg      Config
	random   *rand.Rand
	Slow     float64   // work takes so many times as long: a brown host
	Errors   []float64 // share of requests that fail, by class
	Draining bool
	started  time.Duration
	cold     bool // it has been started during the run
	offered  float64
	seen     time.Duration
	running  int
	waiting  int
	keys     map[uint64]*list.Element
	recent   *list.List
}

// NewModel makes a host that has been up for long.
func NewModel(c Config, seed uint64) *Model {
	return &Model{cfg: c, random: rand.New(rand.NewPCG(seed, 11)), Slow: 1, keys: map[uint64]*list.Element{}, recent: list.New()}
}

// Start begins a new life, cold.
func (m *Model) Start(now time.Duration) {
	m.started, m.cold, m.offered, m.seen = now, true, 0, now
	m.running, m.waiting, m.Draining = 0, 0, false
	clear(m.keys)
	m.recent.Init()
}

// Warmth is the share of its capacity that the host has.
func (m *Model) Warmth(now time.Duration) float64 {
	age := now - m.started
	if !m.cold || m.cfg.ColdFor <= 0 || age >= m.cfg.ColdFor {
		return 1
	}
	return m.cfg.ColdFrom + (1-m.cfg.ColdFrom)*float64(age)/float64(m.cfg.ColdFor)
}

// Job is what one request will cost.
type Job struct {
	work float64 // seconds on one warm, quick core
	Fail bool
}

// Arrive takes a request: whether it is turned away, and whether the host falls over with it.
func (m *Model) Arrive(now time.Duration, class int, key uint64, fresh bool) (j Job, turnedAway, falls bool) {
	j.work = m.draw()
	if m.met(key) {
		j.work *= m.cfg.WarmShare
	}
	if fresh {
		j.work += m.cfg.Handshake.Seconds()
	}
	j.Fail = class < len(m.Errors) && m.random.Float64() < m.Errors[class]
	if m.Draining || m.waiting >= m.cfg.Queue {
		return j, true, false
	}
	return j, false, m.push(now, j.work)
}

// push adds to the work that has come lately and says whether it is too much for a cold host.
func (m *Model) push(now time.Duration, work float64) bool {
	span := m.cfg.FallAfter.Seconds()
	if span <= 0 || m.cfg.FallMultiple <= 0 {
		return false
	}
	m.offered = m.offered*math.Exp(-(now-m.seen).Seconds()/span) + work/span
	m.seen = now
	warmth := m.Warmth(now)
	return warmth < 1 && m.offered > m.cfg.FallMultiple*warmth*float64(m.cfg.Cores)
}

// draw is the work of one request: lognormal, with the mean and spread that are set.
func (m *Model) draw() float64 {
	sigma := math.Sqrt(math.Log(1 + m.cfg.CV*m.cfg.CV))
	return m.cfg.Work.Seconds() * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
}

// met says whether the key was here lately, and notes that it is.
func (m *Model) met(key uint64) bool {
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

// Free says whether a core is free, and takes it if so; else the request waits.
func (m *Model) Free() bool {
	if m.running < m.cfg.Cores {
		m.running++
		return true
	}
	m.waiting++
	return false
}

// Leave takes back a request that waited. next says whether one that waits has got the core.
func (m *Model) Leave() { m.waiting-- }

// Next gives the core that has become free to one that waits, if any.
func (m *Model) Next() bool {
	if m.waiting > 0 {
		m.waiting--
		return true
	}
	m.running--
	return false
}

// Takes is how long a job will run from now on.
func (m *Model) Takes(now time.Duration, j Job) time.Duration {
	slow := m.Slow
	if m.cfg.SlowBy > 1 && m.waiting >= m.cfg.SlowAt {
		slow *= m.cfg.SlowBy
	}
	return time.Duration(j.work * slow / m.Warmth(now) * float64(time.Second))
}
