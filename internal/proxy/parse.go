package proxy

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"beechwing/balancer"
	bodies "beechwing/internal/body"
	"beechwing/internal/settings"
	"beechwing/internal/wire"
)

// Headers of the platform's protocol.
const (
	headerID         = "X-Txn"
	headerClass      = "X-Lane"
	headerTenant     = "X-Org"
	headerKey        = "X-Entity"
	headerRemaining  = "X-Remaining"
	headerRepeat     = "X-Resent"
	headerWork       = "X-Estimate"
	headerReport     = "X-Pressure"
	headerTurnedAway = "X-Turned-Away"

	healthPath = "/_health"

	maxRemainingSeconds = 600.0 // a client that claims to wait longer than this is in error
	maxIDLength         = 256
	maxHeadBytes        = 12 << 10 // limit for the head of a request, so that the head sent to a host fits into a buffer
)

// The headers that may occur only once in a message, as wire.CheckHead wants them.
var (
	singleInRequests = []string{"Content-Length", "Transfer-Encoding", "Host", headerID, headerClass, headerTenant,
		headerKey, headerRemaining, headerRepeat, headerWork}
	singleInResponses = []string{"Content-Length", "Transfer-Encoding", headerTurnedAway}
)

// request is a client's request. Its body is complete unless upload is set.
type request struct {
	balancer.Request
	txnID      string                 // request ID given by the client, in the X-Txn header
	head       *[wire.BufferSize]byte // head sent to the host, without the remaining time and the empty line
	headLen    int
	body       wire.Body
	upload     *upload             // the rest of a long body; nil: body holds all of it
	noChunks   bool                // the client speaks HTTP/1.0 and cannot read chunked encoding
	receivedAt time.Time           // when the request was received; the client's remaining time runs from here
	response   chan clientResponse // receives exactly one response
	names      *nameIndex          // the index that numbered its class and tenant
	method     string
}

func freeRequest(p *wire.Pool, q *request) {
	p.PutBuffer(q.head)
	p.FreeBody(&q.body)
}

// badRequest is the error response to input that is not a valid request.
type badRequest struct {
	status int
	text   string
}

// response returns the response for the client. Its connection is closed, since nobody knows where the next message on
// it begins.
func (b badRequest) response() clientResponse {
	return clientResponse{status: b.status, text: b.text + "\n", closeAfter: true, protocolError: true}
}

// readError returns the response to a message that could not be read. It is nil if the connection ended or timed out
// first, so that no response is due.
func (c *clientConn) readError(err error) *badRequest {
	var ne net.Error
	if c.meter.Err != nil {
		err = c.meter.Err
	}
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return &badRequest{http.StatusRequestHeaderFieldsTooLarge, "request header is too large"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return nil
	}
	return &badRequest{http.StatusBadRequest, "malformed request"}
}

// badPipelined answers a client that sends more before it has its response: it gave a wrong length or tries to smuggle
// in a second request.
var badPipelined = &badRequest{http.StatusBadRequest, "more came than one request"}

// nameIndex maps the class and tenant names in requests to the numbers that the balancer uses.
type nameIndex struct {
	classes           map[string]int
	tenants           map[string]int
	classNames        []string // by class number
	tenantNames       []string // by tenant number
	effects           []balancer.Effect
	tallies           []*classStats // by class number
	retryAfterSeconds float64       // for requests that the frontend refuses by itself; 0: the settings allow none
}

func newNameIndex(s *settings.Settings, c *balancer.Config, t *requestStats) *nameIndex {
	n := &nameIndex{classes: map[string]int{}, tenants: map[string]int{}, retryAfterSeconds: c.MaxCoolDown / 4}
	for i, k := range s.Classes {
		n.classes[k.Name] = i
		n.classNames = append(n.classNames, k.Name)
		n.effects = append(n.effects, c.Classes[i].Effect)
		n.tallies = append(n.tallies, t.forClass(k.Name))
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
		n.tenantNames = append(n.tenantNames, t.Name)
	}
	return n
}

// previousClasses returns, for each class, its number in the old index, or -1 if it is new.
func (n *nameIndex) previousClasses(old *nameIndex) []int {
	numbers := make([]int, len(n.classNames))
	for i, name := range n.classNames {
		numbers[i] = -1
		if from, known := old.classes[name]; known {
			numbers[i] = from
		}
	}
	return numbers
}

// reindex renumbers the class and tenant of a request that was parsed with another index and that the balancer has not
// seen yet.
func (n *nameIndex) reindex(q *request) *badRequest {
	class, tenant := q.names.classNames[q.Class], ""
	if q.Tenant < len(q.names.tenantNames) {
		tenant = q.names.tenantNames[q.Tenant]
	}
	q.names = n
	return n.resolve(&q.Request, class, q.method, tenant)
}

// resolve sets the class and tenant numbers of a request.
func (n *nameIndex) resolve(q *balancer.Request, class, method, tenant string) *badRequest {
	var known bool
	if q.Class, known = n.classes[class]; !known {
		return &badRequest{http.StatusBadRequest, "unknown class"}
	}
	if !slices.Contains(methods[n.effects[q.Class]], method) {
		return &badRequest{http.StatusMethodNotAllowed, "the method does not fit the class"}
	}
	if q.Tenant, known = n.tenants[tenant]; !known && len(n.tenants) > 0 {
		return &badRequest{http.StatusBadRequest, "unknown tenant"}
	}
	return nil
}

// methods lists the HTTP methods allowed for a class, by the effect of a second execution.
var methods = map[balancer.Effect][]string{
	balancer.Safe:   {http.MethodGet},
	balancer.Keyed:  {http.MethodPost, http.MethodPut},
	balancer.Unsafe: {http.MethodPost},
}

// parse reads the rest of a request from the connection. On an error, all buffers are back in the pool.
func (c *clientConn) parse(r *http.Request) (*request, *badRequest) {
	n := c.front.names.Load()
	in, bad := n.parseHeaders(r)
	if bad != nil {
		return nil, bad
	}
	q := &request{Request: in, txnID: r.Header.Get(headerID), response: make(chan clientResponse, 1), names: n,
		method: r.Method}
	if bad := c.takeBody(r, q); bad != nil {
		return nil, bad
	}
	switch {
	case r.Method == http.MethodGet && q.body.Size > 0:
		bad = &badRequest{http.StatusBadRequest, "GET with a body"}
	case q.upload == nil && c.br.Buffered() > 0:
		bad = badPipelined
	}
	if bad != nil {
		c.front.bufs.FreeBody(&q.body)
		return nil, bad
	}
	q.receivedAt = time.Now().Add(-c.queueTime)
	q.head = c.front.bufs.Buffer()
	if err := q.writeHead(r); err != nil {
		freeRequest(c.front.bufs, q)
		return nil, &badRequest{http.StatusRequestHeaderFieldsTooLarge, err.Error()}
	}
	return q, nil
}

// takeBody reads the body. A badRequest with status zero closes the connection without a response: the body is
// incomplete, so there is no request to answer.
func (c *clientConn) takeBody(r *http.Request, q *request) *badRequest {
	q.noChunks = !r.ProtoAtLeast(1, 1)
	if bodies.ModeOf(r.ContentLength) == bodies.Rejected {
		return &badRequest{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.conn.SetWriteDeadline(time.Now().Add(c.front.times.responseTimeout)) // the old deadline may have passed
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &badRequest{}
		}
	}
	c.meter.SetLimit(2 * bodies.MaxLength) // twice the limit, to leave room for chunk framing
	src := &pacedReader{client: c, r: r.Body, startedAt: time.Now()}
	got, more, err := c.front.bufs.ReadBody(src)
	var ne net.Error
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return &badRequest{http.StatusRequestEntityTooLarge, "body is too large"}
	case errors.Is(err, wire.ErrTruncated), errors.As(err, &ne):
		return &badRequest{}
	case err != nil:
		return &badRequest{http.StatusBadRequest, "malformed body"}
	}
	q.body = got
	if more && int64(got.Size) != r.ContentLength {
		q.BodyPending = true
		q.upload = &upload{stream: newStream(c.front.bufs), source: src, length: r.ContentLength}
	}
	return nil
}

// parseHeaders reads what the balancer needs to know of a request.
func (n *nameIndex) parseHeaders(r *http.Request) (q balancer.Request, bad *badRequest) {
	reject := func(format string, args ...any) (balancer.Request, *badRequest) {
		return q, &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
	}
	if id := r.Header.Get(headerID); id == "" || len(id) > maxIDLength || strings.ContainsAny(id, " \t,;") {
		return reject("%s is missing, too long or none", headerID)
	}
	if bad := n.resolve(&q, r.Header.Get(headerClass), r.Method, r.Header.Get(headerTenant)); bad != nil {
		return q, bad
	}
	var err error
	if q.Budget, err = parseSeconds(r.Header.Get(headerRemaining)); err != nil || q.Budget > maxRemainingSeconds {
		return reject("%s is missing or absurd", headerRemaining)
	}
	if key := r.Header.Get(headerKey); key != "" {
		q.Key = hashName(key)
	}
	if us, err := strconv.ParseFloat(r.Header.Get(headerWork), 64); err == nil && us > 0 && !math.IsInf(us, 0) {
		q.Work = us / 1e6
	}
	q.Repeat = r.Header.Get(headerRepeat) == "1"
	return q, nil
}

// parseSeconds parses a duration such as 480m (milliseconds) or 250u (microseconds) and returns it in seconds.
func parseSeconds(text string) (float64, error) {
	for unit, size := range map[string]float64{"m": 1e-3, "u": 1e-6} {
		digits, found := strings.CutSuffix(text, unit)
		if !found {
			continue
		}
		n, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return 0, fmt.Errorf("%q is not a time", text)
		}
		return n * size, nil
	}
	return 0, fmt.Errorf("%q is not a time", text)
}

// hopHeaders holds the headers that apply to one connection only, or that are rewritten for each hop.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, headerRemaining: true,
}

// writeHead writes the head for the host: method, path, query and headers as received, with new framing headers.
func (q *request) writeHead(r *http.Request) error {
	w := &wire.FixedWriter{Buf: q.head[:0]}
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	for _, field := range r.Header["Connection"] { // names further headers that apply to this connection only
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != headerID { // the ID has to reach the host
				r.Header.Del(name)
			}
		}
	}
	r.Header.WriteSubset(w, hopHeaders)
	if r.Method != http.MethodGet {
		fmt.Fprint(w, q.framing())
	}
	if w.Full {
		return wire.ErrTooLarge
	}
	q.headLen = len(w.Buf)
	return nil
}
