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

	maxRemainingSeconds = 600.0 // seconds: a client that says it waits longer than this has made a mistake
	maxIDLength         = 256
	maxHeadBytes        = 12 << 10 // of a request, so that the head made of it for a host fits into a buffer
)

// The headers that may stand in a message once only, as wire.CheckHead wants them.
var (
	singleInRequests = []string{"Content-Length", "Transfer-Encoding", "Host", headerID, headerClass, headerTenant,
		headerKey, headerRemaining, headerRepeat, headerWork}
	singleInResponses = []string{"Content-Length", "Transfer-Encoding", headerTurnedAway}
)

// request is one that a client proxy has taken whole.
type request struct {
	balancer.Request
	txnID      string                 // its id, as the client gave it
	head       *[wire.BufferSize]byte // as it goes to a host, but for the time remaining and the empty line
	headLen    int
	body       wire.Body
	upload     *upload             // the rest of a long body; nil: body is all of it
	noChunks   bool                // its client knows no chunks
	receivedAt time.Time           // when it had come whole: its client's time runs since then
	response   chan clientResponse // gets exactly one
	names      *nameIndex          // by which it was read
	method     string
}

func freeRequest(p *wire.Pool, q *request) {
	p.PutBuffer(q.head)
	p.FreeBody(&q.body)
}

// badRequest is what is answered to something that cannot be taken as a request.
type badRequest struct {
	status int
	text   string
}

// answer words it for the client. Its connection ends: where the next message on it begins is not known.
func (b badRequest) response() clientResponse {
	return clientResponse{status: b.status, text: b.text + "\n", closeAfter: true, protocolError: true}
}

// errorFor words the answer to a message that could not be read. Where nothing whole has come, and nothing can be
// told to the other side, it is nil.
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

// errBehind answers a client that sends on before it is answered: the length it gave is wrong, or it hides a request
// behind another.
var badPipelined = &badRequest{http.StatusBadRequest, "more came than one request"}

// names turns the names that requests carry into the module's numbers.
type nameIndex struct {
	classes           map[string]int
	tenants           map[string]int
	classNames        []string // of the classes
	tenantNames       []string // of the tenants
	effects           []balancer.Effect
	tallies           []*classTally // of the classes
	retryAfterSeconds float64       // seconds that a refusal of the front's own names; 0: settings allow none
}

func newNameIndex(s *settings.Settings, c *balancer.Config, t *tally) *nameIndex {
	n := &nameIndex{classes: map[string]int{}, tenants: map[string]int{}, retryAfterSeconds: c.MaxCoolDown / 4}
	for i, k := range s.Classes {
		n.classes[k.Name] = i
		n.classNames = append(n.classNames, k.Name)
		n.effects = append(n.effects, c.Classes[i].Effect)
		n.tallies = append(n.tallies, t.of(k.Name))
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
		n.tenantNames = append(n.tenantNames, t.Name)
	}
	return n
}

// kept says of each class which one of was it is; -1: none.
func (n *nameIndex) previousClasses(was *nameIndex) []int {
	kept := make([]int, len(n.classNames))
	for i, word := range n.classNames {
		kept[i] = -1
		if from, known := was.classes[word]; known {
			kept[i] = from
		}
	}
	return kept
}

// adopt words a request anew that was read by other names and has not been taken yet.
func (n *nameIndex) reindex(q *request) *badRequest {
	class, tenant := q.names.classNames[q.Class], ""
	if q.Tenant < len(q.names.tenantNames) {
		tenant = q.names.tenantNames[q.Tenant]
	}
	q.names = n
	return n.resolve(&q.Request, class, q.method, tenant)
}

// number gives a request the module's numbers of its class and tenant.
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

// methods are those that fit a class by what a second execution would do.
var methods = map[balancer.Effect][]string{
	balancer.Safe:   {http.MethodGet},
	balancer.Keyed:  {http.MethodPost, http.MethodPut},
	balancer.Unsafe: {http.MethodPost},
}

// parse takes the rest of a request off the connection. On an error nothing stays taken from the pool.
func (c *clientConn) parse(r *http.Request) (*request, *badRequest) {
	n := c.front.names.Load()
	in, bad := n.parseHeaders(r)
	if bad != nil {
		return nil, bad
	}
	q := &request{Request: in, txnID: r.Header.Get(headerID), response: make(chan clientResponse, 1), names: n, method: r.Method}
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

// takeBody reads the body. A status of zero closes the connection without a word: the body never came whole, so no
// request was taken.
func (c *clientConn) takeBody(r *http.Request, q *request) *badRequest {
	q.noChunks = !r.ProtoAtLeast(1, 1)
	if bodies.Of(r.ContentLength) == bodies.Refusing {
		return &badRequest{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.conn.SetWriteDeadline(time.Now().Add(c.front.times.responseTimeout)) // that of the last answer may be over
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &badRequest{}
		}
	}
	c.meter.Allow(2 * bodies.Longest) // with the framing of chunks
	src := &pacedReader{client: c, r: r.Body, startedAt: time.Now()}
	got, more, err := c.front.bufs.ReadBody(src)
	var ne net.Error
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return &badRequest{http.StatusRequestEntityTooLarge, "body is too large"}
	case errors.Is(err, wire.ErrCut), errors.As(err, &ne):
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

// translate reads what the module needs to know of a request.
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
		q.Key = hash(key)
	}
	if us, err := strconv.ParseFloat(r.Header.Get(headerWork), 64); err == nil && us > 0 && !math.IsInf(us, 0) {
		q.Work = us / 1e6
	}
	q.Repeat = r.Header.Get(headerRepeat) == "1"
	return q, nil
}

// parseSpan reads a time such as 480m (milliseconds) or 250u (microseconds).
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

// hopHeaders concern one connection only, or are set anew for each.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, headerRemaining: true,
}

// writeHead words the request for a host: method, path, query and headers as they came, framing anew.
func (q *request) writeHead(r *http.Request) error {
	w := &wire.FixedWriter{Buf: q.head[:0]}
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	for _, field := range r.Header["Connection"] { // names further headers of this connection only
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != headerID { // which has to go on
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
