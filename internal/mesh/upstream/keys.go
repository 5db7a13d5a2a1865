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

// Calls that grant key ranges to a host of a sharded service, or have it release them.

const (
	pathGrant      = "/-/grant"
	pathRelease    = "/-/release"
	headerHandover = "Beechwing-Handover"
)

// keyRange is the JSON body of a call.
type keyRange struct {
	First    int    `json:"origin"`
	Last     int    `json:"destination"`
	Fence    uint64 `json:"fence"`
	HoldMs   int    `json:"holdMs,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// CallKeys makes a grant or release call to the host, which must respond by deadline.
func (h *Host) CallKeys(call sidecar.KeyCall, deadline time.Time) sidecar.KeyResult {
	path := pathGrant
	if call.Release {
		path = pathRelease
	}
	body, err := json.Marshal(keyRange{call.FirstKey, call.LastKey, call.Fence, call.HoldMs, call.Handover})
	if err != nil {
		return sidecar.KeyResult{}
	}
	result, err := h.post(path, body, deadline)
	if err != nil {
		return sidecar.KeyResult{Refused: errors.Is(err, syscall.ECONNREFUSED) && outcome.Of(err) == outcome.TurnedAway}
	}
	return result
}

// post sends a POST request to the host and reads its response.
func (h *Host) post(path string, body []byte, deadline time.Time) (sidecar.KeyResult, error) {
	c := h.takeIdle("")
	if c == nil {
		var err error
		if c, err = h.dial(context.Background()); err != nil {
			return sidecar.KeyResult{}, err
		}
	}
	c.SetDeadline(deadline)
	head := "POST " + path + " HTTP/1.1\r\nHost: " + h.addr + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := c.Write(append([]byte(head), body...))
	var resp response
	var res *http.Response
	if err == nil {
		resp, res, err = c.readOne(http.MethodPost)
	}
	if err != nil || res.StatusCode < http.StatusOK {
		c.Close()
		return sidecar.KeyResult{}, errors.CombineErrors(err, errors.Newf("no response to %s", path))
	}
	if resp.keepFor > 0 && c.br.Buffered() == 0 {
		h.keepIdle(c, resp.keepFor)
	} else {
		c.Close()
	}
	return sidecar.KeyResult{Status: res.StatusCode, Handover: res.Header.Get(headerHandover)}, nil
}
