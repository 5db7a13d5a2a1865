package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/sidecar"
)

// Calls by which a host of a sharded service is granted keys, or releases them.

const (
	pathGrant      = "/-/grant"
	pathRelease    = "/-/release"
	headerHandover = "Beechwing-Handover"
)

// keyRange is the body of a call.
type keyRange struct {
	First    int    `json:"origin"`
	Last     int    `json:"destination"`
	Fence    uint64 `json:"fence"`
	HoldMs   int    `json:"holdMs,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// CallKeys makes a call at the host, which has to answer by until.
func (p *Host) CallKeys(call sidecar.KeyCall, until time.Time) sidecar.KeyResult {
	path := pathGrant
	if call.Release {
		path = pathRelease
	}
	body, err := json.Marshal(keyRange{call.FirstKey, call.LastKey, call.Fence, call.HoldMs, call.Handover})
	if err != nil {
		return sidecar.KeyResult{}
	}
	result, err := p.post(path, body, until)
	if err != nil {
		return sidecar.KeyResult{Refused: errors.Is(err, syscall.ECONNREFUSED) && outcome.Of(err) == outcome.TurnedAway}
	}
	return result
}

func (p *Host) post(path string, body []byte, until time.Time) (sidecar.KeyResult, error) {
	c := p.take("")
	if c == nil {
		var err error
		if c, err = p.dial(context.Background()); err != nil {
			return sidecar.KeyResult{}, err
		}
	}
	c.SetDeadline(until)
	head := "POST " + path + " HTTP/1.1\r\nHost: " + p.addr + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := c.Write(append([]byte(head), body...))
	var a answer
	var res *http.Response
	if err == nil {
		a, res, err = c.readOne(http.MethodPost)
	}
	if err != nil || res.StatusCode < http.StatusOK {
		c.Close()
		return sidecar.KeyResult{}, errors.CombineErrors(err, errors.Newf("no answer to %s", path))
	}
	if a.keep > 0 && c.br.Buffered() == 0 {
		p.keep(c, a.keep)
	} else {
		c.Close()
	}
	return sidecar.KeyResult{Status: res.StatusCode, Handover: res.Header.Get(headerHandover)}, nil
}
