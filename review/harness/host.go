package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatMs     = 1500
	berths     = 6
	healthPath = "/health"
)

// The headers of the operators' protocol.
const (
	HeaderID        = "Beechwing-Consignment-Id"
	HeaderDeadline  = "Beechwing-Deadline-Ms"
	HeaderKey       = "Beechwing-Once-Key"
	HeaderPostmark  = "Beechwing-Postmark"
	HeaderAddressee = "Beechwing-Addressee"
	HeaderSender    = "Beechwing-Sender-Carrier"
	HeaderNotRun    = "Beechwing-Undelivered"
	HeaderStation   = "Beechwing-Station"
)

// Work is a request that has reached a host.
type Work struct {
	Host    *Host
	Request *http.Request
	ID, Key string
	Body    []byte
}

// Handler decides what a host does with a request. A notRun status other than 0 turns the request away with that status; the host
// has not run it. Otherwise the host runs it and answers 200 with the body.
type Handler func(w Work) (notRun int, body []byte)

// Host is a stand-in for a host of a service: it beats at the proxy beside it and serves requests as the pages say.
type Host struct {
	Station, Service string
	machine          *Machine
	server           *http.Server
	stopBeats        chan struct{}
	once             sync.Once
	runs             atomic.Int64
	sequence         int64
	slots            chan struct{}
}

func startHost(d *Deployment, m *Machine, station string, serve Handler) (*Host, error) {
	h := &Host{Station: station, Service: m.Service, machine: m, stopBeats: make(chan struct{}), slots: make(chan struct{}, berths)}
	ln, err := net.Listen("tcp", m.address(d.ports.app))
	if err != nil {
		return nil, err
	}
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.handle(d, w, r, serve) }),
		IdleTimeout: 10 * time.Second}
	go h.server.Serve(ln)
	go h.beat(d)
	return h, nil
}

// handle serves one request.
func (h *Host) handle(d *Deployment, w http.ResponseWriter, r *http.Request, serve Handler) {
	if r.URL.Path == healthPath {
		w.Header().Set(HeaderStation, h.Station)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderID)
	turnAway := func(status int) {
		d.Record.Log("host %s (%s): turned away %s %s%s id=%s key=%q with %d", h.machine.Name, h.Service, r.Method, r.Host, r.RequestURI, id,
			r.Header.Get(HeaderKey), status)
		w.Header().Set(HeaderNotRun, "1")
		w.Header().Set(HeaderStation, h.Station)
		if id != "" {
			w.Header().Set(HeaderID, id)
		}
		w.WriteHeader(status)
	}
	switch addressee := r.Header.Get(HeaderAddressee); {
	case id == "":
		turnAway(http.StatusBadRequest)
		return
	case addressee != "" && addressee != h.Station:
		turnAway(http.StatusMisdirectedRequest)
		return
	}
	h.slots <- struct{}{}
	defer func() { <-h.slots }()
	notRun, answer := serve(Work{h, r, id, r.Header.Get(HeaderKey), body})
	if notRun != 0 {
		turnAway(notRun)
		return
	}
	postmark := fmt.Sprintf("%s.%d", h.Station, h.runs.Add(1))
	d.Record.Log("host %s (%s): ran %s %s%s id=%s key=%q sender=%s, %d bytes -> 200 %s", h.machine.Name, h.Service, r.Method, r.Host,
		r.RequestURI, id, r.Header.Get(HeaderKey), r.Header.Get(HeaderSender), len(body), postmark)
	w.Header().Set(HeaderID, id)
	w.Header().Set(HeaderPostmark, postmark)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}

// beat sends the host's beats until the host stops.
func (h *Host) beat(d *Deployment) {
	for {
		h.sendBeat(d)
		select {
		case <-h.stopBeats:
			return
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

func (h *Host) sendBeat(d *Deployment) {
	h.sequence++
	body, err := json.Marshal(map[string]any{"carrier": h.Service, "address": h.machine.address(d.ports.app), "zone": h.machine.Zone,
		"edition": "v1", "berths": berths, "condition": "at_dock", "coldLeftMs": 0, "sequence": h.sequence})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + h.machine.address(d.ports.control) + "/-/stations/" + h.Station
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if res, err := http.DefaultClient.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// Stop ends the host without a word.
func (h *Host) Stop() {
	h.once.Do(func() {
		close(h.stopBeats)
		h.server.Close()
	})
}
