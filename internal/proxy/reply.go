package proxy

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"

	"beechwing/balancer"
	bodies "beechwing/internal/body"
	"beechwing/internal/wire"
)

// hostResponse is the response of a host, or the reason why there is none.
type hostResponse struct {
	err           error // there is no complete response
	malformed     bool  // the bytes received are not a valid response; false if they merely ended early
	result        balancer.Result
	status        int
	contentType   string
	body          wire.Body
	loadReport    []float32
	reusable      bool    // the connection can carry another call
	stream        *stream // a long response that is passed on while it arrives; body is then empty
	contentLength int64   // of stream; negative: unknown
}

var errNoLength = errors.New("response has neither a length nor an announced close, so its end cannot be detected")

// readResponse reads one complete response. Interim responses (1xx) before it are skipped, as many as fit into
// maxHeadBytes.
func (c *hostConn) readResponse(call *call) hostResponse {
	r := c.readFinalResponse(call)
	r.malformed = r.err != nil && (c.meter.Err == nil || errors.Is(c.meter.Err, wire.ErrTooLarge))
	return r
}

func (c *hostConn) readFinalResponse(call *call) hostResponse {
	c.meter.SetLimit(maxHeadBytes)
	for {
		head, err := wire.PeekHead(c.br, maxHeadBytes)
		if err == nil {
			err = wire.CheckHead(head, singleInResponses)
		}
		if err != nil {
			return hostResponse{err: err}
		}
		closes := wire.AnnouncesClose(head)
		r, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return hostResponse{err: err}
		}
		if r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			return c.receiveResponse(r, closes, call)
		}
	}
}

func (c *hostConn) receiveResponse(r *http.Response, closes bool, call *call) hostResponse {
	way := bodies.ModeOf(r.ContentLength)
	switch {
	case way == bodies.Rejected:
		return hostResponse{err: wire.ErrTooLarge}
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !closes:
		return hostResponse{err: errNoLength}
	}
	c.meter.SetLimit(2 * bodies.MaxLength) // twice the limit, to leave room for chunk framing
	columns := c.upstream.pool.settings.Load().reportColumns
	out := hostResponse{status: r.StatusCode, result: resultOf(r), contentType: r.Header.Get("Content-Type"),
		loadReport: parseReport(r.Header.Get(headerReport), columns), contentLength: r.ContentLength}
	if way == bodies.Buffered || out.result != balancer.OK {
		var more bool
		if out.body, more, out.err = c.upstream.pool.bufs.ReadBody(r.Body); out.err != nil {
			return hostResponse{err: out.err}
		}
		r.Close = r.Close || more && int64(out.body.Size) != r.ContentLength // the rest of an error response is not read
	} else if out = c.receiveLong(r, out, call, way == bodies.Streamed); out.err != nil {
		return out
	}
	// Extra bytes after the response belong to no request, and a host that sends them is not trusted with another one.
	out.reusable = !r.Close && c.br.Buffered() == 0 && r.StatusCode != http.StatusSwitchingProtocols
	return out
}

// resultOf maps a response to its result as the protocol defines. Only the host's own statement, the X-Turned-Away
// header, proves that a request has not run.
func resultOf(r *http.Response) balancer.Result {
	switch r.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if r.Header.Get(headerTurnedAway) == "1" {
			return balancer.Rejected
		}
	}
	return balancer.Errored
}

// blamesRequest reports whether a status means that the request is at fault, and not the host. 429 is excluded: it
// would be a refusal, and without X-Turned-Away a status does not prove that nothing has run.
func blamesRequest(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// columnAliases maps the report columns in the settings to other names that a load report may use for them.
var columnAliases = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps",
}

// parseReport returns the values of a load report in the order of columns. It returns nil for an invalid report. A
// missing value becomes NaN.
func parseReport(text string, columns []string) []float32 {
	if text == "" || len(columns) == 0 {
		return nil
	}
	var fields map[string]float64
	if json.Unmarshal([]byte(text), &fields) != nil || len(fields) == 0 {
		return nil
	}
	report := make([]float32, len(columns))
	for i, name := range columns {
		v, known := fields[name]
		if !known {
			v, known = fields[columnAliases[name]]
		}
		if !known {
			v = math.NaN()
		}
		report[i] = float32(v)
	}
	return report
}
