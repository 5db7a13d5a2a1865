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
	headerID        = "X-Txn"
	headerClass     = "X-Lane"
	headerTenant    = "X-Org"
	headerKey       = "X-Entity"
	headerRemaining = "X-Remaining"
	headerRepeat    = "X-Resent"
	headerWork      = "X-Estimate"
	headerReport    = "X-Pressure"
	headerTurned    = "X-Turned-Away"

	healthPath = "/_health"

	mostRemaining = 600.0 // seconds: a client that says it waits longer than this has made a mistake
	mostIDLength  = 256
	maxHead       = 12 << 10 // of a request, so that the head made of it for a host fits into a buffer
)

// The headers that may stand in a message once only, as wire.CheckHead wants them.
var (
	singleInRequests = []string{"Content-Length", "Transfer-Encoding", "Host", headerID, headerClass, headerTenant,
		headerKey, headerRemaining, headerRepeat, headerWork}
	singleInReplies = []string{"Content-Length", "Transfer-Encoding", headerTurned}
)

// request is one that a client proxy has taken whole.
type request struct {
	balancer.Request
	name   string                 // its id, as the client gave it
	head   *[wire.BufferSize]byte // as it goes to a host, but for the time remaining and the empty line
	headed int
	body   wire.Body
	up     *upload     // the rest of a long body; nil: body is all of it
	old    bool        // its client knows no chunks
	taken  time.Time   // when it had come whole: its client's time runs since then
	answer chan answer // gets exactly one
	names  *names      // by which it was read
	method string
}

func freeRequest(p *wire.Pool, q *request) {
	p.PutBuffer(q.head)
	p.FreeBody(&q.body)
}

// badRequest is what is answered to something that cannot be taken as a request.
type badRequest struct {
	status int
	why    string
}

// answer words it for the client. Its connection ends: where the next message on it begins is not known.
func (b badRequest) answer() answer {
	return answer{status: b.status, text: b.why + "\n", last: true, bad: true}
}

// errorFor words the answer to a message that could not be read. Where nothing whole has come, and nothing can be
// told to the other side, it is nil.
func (c *client) errorFor(err error) *badRequest {
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
var errBehind = &badRequest{http.StatusBadRequest, "more came than one request"}

// names turns the names that requests carry into the module's numbers.
type names struct {
	classes  map[string]int
	tenants  map[string]int
	words    []string // of the classes
	clients  []string // of the tenants
	effects  []balancer.Effect
	tally    []*classStats // of the classes
	coolDown float64       // seconds that a refusal of the front's own names; 0: settings allow none
}

func newNames(s *settings.Settings, c *balancer.Config, t *requestStats) *names {
	n := &names{classes: map[string]int{}, tenants: map[string]int{}, coolDown: c.MaxCoolDown / 4}
	for i, k := range s.Classes {
		n.classes[k.Name] = i
		n.words = append(n.words, k.Name)
		n.effects = append(n.effects, c.Classes[i].Effect)
		n.tally = append(n.tally, t.forClass(k.Name))
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
		n.clients = append(n.clients, t.Name)
	}
	return n
}

// kept says of each class which one of was it is; -1: none.
func (n *names) kept(was *names) []int {
	kept := make([]int, len(n.words))
	for i, word := range n.words {
		kept[i] = -1
		if from, known := was.classes[word]; known {
			kept[i] = from
		}
	}
	return kept
}

// adopt words a request anew that was read by other names and has not been taken yet.
func (n *names) adopt(q *request) *badRequest {
	class, tenant := q.names.words[q.Class], ""
	if q.Tenant < len(q.names.clients) {
		tenant = q.names.clients[q.Tenant]
	}
	q.names = n
	return n.number(&q.Request, class, q.method, tenant)
}

// number gives a request the module's numbers of its class and tenant.
func (n *names) number(q *balancer.Request, class, method, tenant string) *badRequest {
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
func (c *client) parse(r *http.Request) (*request, *badRequest) {
	n := c.front.names.Load()
	in, bad := n.translate(r)
	if bad != nil {
		return nil, bad
	}
	q := &request{Request: in, name: r.Header.Get(headerID), answer: make(chan answer, 1), names: n, method: r.Method}
	if bad := c.takeBody(r, q); bad != nil {
		return nil, bad
	}
	switch {
	case r.Method == http.MethodGet && q.body.Size > 0:
		bad = &badRequest{http.StatusBadRequest, "GET with a body"}
	case q.up == nil && c.br.Buffered() > 0:
		bad = errBehind
	}
	if bad != nil {
		c.front.bufs.FreeBody(&q.body)
		return nil, bad
	}
	q.taken = time.Now().Add(-c.waited)
	q.head = c.front.bufs.Buffer()
	if err := q.writeHead(r); err != nil {
		freeRequest(c.front.bufs, q)
		return nil, &badRequest{http.StatusRequestHeaderFieldsTooLarge, err.Error()}
	}
	return q, nil
}

// takeBody reads the body. A status of zero closes the connection without a word: the body never came whole, so no
// request was taken.
func (c *client) takeBody(r *http.Request, q *request) *badRequest {
	q.old = !r.ProtoAtLeast(1, 1)
	if bodies.Of(r.ContentLength) == bodies.Refusing {
		return &badRequest{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.conn.SetWriteDeadline(time.Now().Add(c.front.times.answer)) // that of the last answer may be over
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &badRequest{}
		}
	}
	c.meter.Allow(2 * bodies.Longest) // with the framing of chunks
	src := &paced{client: c, r: r.Body, began: time.Now()}
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
		q.up = &upload{stream: newStream(c.front.bufs), from: src, length: r.ContentLength}
	}
	return nil
}

// translate reads what the module needs to know of a request.
func (n *names) translate(r *http.Request) (q balancer.Request, bad *badRequest) {
	reject := func(format string, args ...any) (balancer.Request, *badRequest) {
		return q, &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
	}
	if id := r.Header.Get(headerID); id == "" || len(id) > mostIDLength || strings.ContainsAny(id, " \t,;") {
		return reject("%s is missing, too long or none", headerID)
	}
	if bad := n.number(&q, r.Header.Get(headerClass), r.Method, r.Header.Get(headerTenant)); bad != nil {
		return q, bad
	}
	var err error
	if q.Budget, err = parseSpan(r.Header.Get(headerRemaining)); err != nil || q.Budget > mostRemaining {
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

// parseSpan reads a time such as 480m (milliseconds) or 250u (microseconds).
func parseSpan(text string) (float64, error) {
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
	q.headed = len(w.Buf)
	return nil
}
