package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Try is one try of a client.
type Try struct {
	Proxy              *Machine
	Method, Host, Path string
	Key                string // of a tracked request
	Body               []byte
	Deadline           time.Duration
}

// Answer is what a client got. Status is 0 if it got no answer.
type Answer struct {
	ID, Postmark string
	Status       int
	Body         []byte
	RetryAfter   time.Duration
	Err          error
}

// Send sends one try on a new connection, with an id of its own.
func (d *Deployment) Send(t Try) (a Answer) {
	a.ID = fmt.Sprintf("%016x", rand.Uint64())
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn,
		error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", t.Proxy.Outbound())
	}}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), t.Deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, t.Method, "http://"+t.Proxy.Outbound()+t.Path, bytes.NewReader(t.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = t.Host
	req.Header.Set(HeaderID, a.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(t.Deadline.Milliseconds(), 10))
	if t.Key != "" {
		req.Header.Set(HeaderKey, t.Key)
	}
	defer func() {
		d.Record.Log("client at %s: %s %s%s id=%s key=%q -> %d postmark=%s %s", t.Proxy.Name, t.Method, t.Host, t.Path, a.ID, t.Key, a.Status,
			a.Postmark, errText(a.Err))
	}()
	res, err := transport.RoundTrip(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer res.Body.Close()
	if a.Body, a.Err = io.ReadAll(res.Body); a.Err != nil {
		return a
	}
	a.Status, a.Postmark = res.StatusCode, res.Header.Get(HeaderPostmark)
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// Operate sends the tries of one operation as the pages say: with the same key, again after a failure as long as its time lasts, and
// not before the time that a refusal names.
func (d *Deployment) Operate(t Try, tries int) (a Answer) {
	until := time.Now().Add(t.Deadline)
	for n := range tries {
		if n > 0 {
			left := time.Until(until)
			time.Sleep(min(max(a.RetryAfter, 20*time.Millisecond), left/3))
			if t.Deadline = time.Until(until); t.Deadline < 50*time.Millisecond {
				break
			}
		}
		if a = d.Send(t); a.Status >= 200 && a.Status < 300 {
			break
		}
	}
	return a
}
