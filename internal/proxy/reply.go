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

// reply is what a host answered, or why it did not.
type hostResponse struct {
	err           error // no whole answer came
	malformed     bool  // not for want of bytes: what came is no answer
	result        balancer.Result
	status        int
	contentType   string
	body          wire.Body
	loadReport    []float32
	reusable      bool
	stream        *stream // of an answer that begins to go on; body is empty then
	contentLength int64   // of that; negative: nobody knows
}

var errNoLength = errors.New("an answer without a length may be cut short anywhere")

// readReply reads one answer whole. Interim answers (1xx) ahead of it are passed over, as many as the bytes allowed for
// heads hold.
func (c *hostConn) readResponse(call *call) hostResponse {
	r := c.readFinalResponse(call)
	r.malformed = r.err != nil && (c.meter.Err == nil || errors.Is(c.meter.Err, wire.ErrTooLarge))
	return r
}

func (c *hostConn) readFinalResponse(call *call) hostResponse {
	c.meter.Allow(maxHeadBytes)
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
	way := bodies.Of(r.ContentLength)
	switch {
	case way == bodies.Refusing:
		return hostResponse{err: wire.ErrTooLarge}
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !closes:
		return hostResponse{err: errNoLength}
	}
	c.meter.Allow(2 * bodies.Longest) // with the framing of chunks
	columns := c.upstream.pool.settings.Load().reportColumns
	out := hostResponse{status: r.StatusCode, result: resultOf(r), contentType: r.Header.Get("Content-Type"),
		loadReport: parseReport(r.Header.Get(headerReport), columns), contentLength: r.ContentLength}
	if way == bodies.Whole || out.result != balancer.OK {
		var more bool
		if out.body, more, out.err = c.upstream.pool.bufs.ReadBody(r.Body); out.err != nil {
			return hostResponse{err: out.err}
		}
		r.Close = r.Close || more && int64(out.body.Size) != r.ContentLength // of a failure, no more is wanted
	} else if out = c.receiveLong(r, out, call, way == bodies.Pieces); out.err != nil {
		return out
	}
	// Bytes beyond the answer belong to nothing; who sends them cannot be trusted with a further request.
	out.reusable = !r.Close && c.br.Buffered() == 0 && r.StatusCode != http.StatusSwitchingProtocols
	return out
}

// resultOf reads the protocol's table. Only the host's own word proves that a request has not run.
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

// atFault tells a status that blames the request from one that tells of the host. 429 would be a refusal, which a host's
// word without X-Turned-Away does not prove.
func blamesRequest(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// plainNames are the names that a report may use for the columns of the settings.
var columnAliases = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps",
}

// parseReport reads a load report into the order of columns. A broken one counts as none; a value that is missing is
// not a number.
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
