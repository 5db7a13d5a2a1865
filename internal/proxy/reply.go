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
type reply struct {
	err      error // no whole answer came
	spoilt   bool  // not for want of bytes: what came is no answer
	result   balancer.Result
	status   int
	kind     string
	body     wire.Body
	report   []float32
	reusable bool
	long     *stream // of an answer that begins to go on; body is empty then
	length   int64   // of that; negative: nobody knows
}

var errLength = errors.New("an answer without a length may be cut short anywhere")

// readReply reads one answer whole. Interim answers (1xx) ahead of it are passed over, as many as the bytes allowed for
// heads hold.
func (c *hostConn) readReply(call *call) reply {
	r := c.readOneReply(call)
	r.spoilt = r.err != nil && (c.meter.Err == nil || errors.Is(c.meter.Err, wire.ErrTooLarge))
	return r
}

func (c *hostConn) readOneReply(call *call) reply {
	c.meter.Allow(maxHead)
	for {
		head, err := wire.PeekHead(c.br, maxHead)
		if err == nil {
			err = wire.CheckHead(head, singleInReplies)
		}
		if err != nil {
			return reply{err: err}
		}
		closes := wire.AnnouncesClose(head)
		r, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return reply{err: err}
		}
		if r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			return c.takeReply(r, closes, call)
		}
	}
}

func (c *hostConn) takeReply(r *http.Response, closes bool, call *call) reply {
	way := bodies.Of(r.ContentLength)
	switch {
	case way == bodies.Refusing:
		return reply{err: wire.ErrTooLarge}
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !closes:
		return reply{err: errLength}
	}
	c.meter.Allow(2 * bodies.Longest) // with the framing of chunks
	columns := c.up.hosts.by.Load().columns
	out := reply{status: r.StatusCode, result: resultOf(r), kind: r.Header.Get("Content-Type"),
		report: parseReport(r.Header.Get(headerReport), columns), length: r.ContentLength}
	if way == bodies.Whole || out.result != balancer.OK {
		var more bool
		if out.body, more, out.err = c.up.hosts.bufs.ReadBody(r.Body); out.err != nil {
			return reply{err: out.err}
		}
		r.Close = r.Close || more && int64(out.body.Size) != r.ContentLength // of a failure, no more is wanted
	} else if out = c.takeLong(r, out, call, way == bodies.Pieces); out.err != nil {
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
		if r.Header.Get(headerTurned) == "1" {
			return balancer.Rejected
		}
	}
	return balancer.Errored
}

// atFault tells a status that blames the request from one that tells of the host. 429 would be a refusal, which a host's
// word without X-Turned-Away does not prove.
func atFault(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests
}

// plainNames are the names that a report may use for the columns of the settings.
var plainNames = map[string]string{
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
			v, known = fields[plainNames[name]]
		}
		if !known {
			v = math.NaN()
		}
		report[i] = float32(v)
	}
	return report
}
