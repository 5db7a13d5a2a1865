// Package api is the HTTP API for hosts and operators: every call is a pair of types, request and response, behind one generic
// handler.
package api

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/sidecar"
)

// Refusal is an error with an HTTP status. Errors without one are answered 503.
type Refusal struct {
	Status   int
	Why      string
	Location string // of a redirection
}

func (r Refusal) Error() string { return r.Why }

// Call is what a handler gets besides the decoded body.
type Call struct {
	ID   string // the path's {id}
	Body []byte // as it came
}

// The bounds of request bodies, in bytes.
const (
	SmallBody = 64 << 10
	LargeBody = 16 << 20
)

// Handle serves one kind of call. In is decoded from JSON, but Raw is the body as it came and None reads nothing. Out is encoded as
// JSON, but Raw is sent as it is.
func Handle[In, Out any](mux *http.ServeMux, pattern string, most int64, serve func(c Call, in *In) (*Out, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := call(w, r, most, serve)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			status := http.StatusServiceUnavailable
			if refusal := (Refusal{}); errors.As(err, &refusal) {
				status = refusal.Status
				if refusal.Location != "" {
					w.Header().Set("Location", refusal.Location)
				}
			}
			w.WriteHeader(status)
			json.NewEncoder(w).Encode(struct {
				Fault string `json:"fault"`
			}{err.Error()})
			return
		}
		switch out := any(out).(type) {
		case *Raw:
			w.Write(*out)
		default:
			json.NewEncoder(w).Encode(out)
		}
	})
}

// Raw is a body that is JSON already.
type Raw []byte

// None is a body without content.
type None struct{}

// call decodes a request and has it served.
func call[In, Out any](w http.ResponseWriter, r *http.Request, most int64, serve func(Call, *In) (*Out, error)) (*Out, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
			return nil, Refusal{Status: http.StatusRequestEntityTooLarge, Why: "body is too large"}
		}
		return nil, Refusal{Status: http.StatusBadRequest, Why: "body has not come whole"}
	}
	in := new(In)
	if _, none := any(in).(*None); !none {
		if _, raw := any(in).(*Raw); raw {
			*any(in).(*Raw) = body
		} else if err := json.Unmarshal(body, in); err != nil {
			return nil, Refusal{Status: http.StatusBadRequest, Why: "cannot be read: " + err.Error()}
		}
	}
	return serve(Call{ID: r.PathValue("id"), Body: body}, in)
}

// Beat is a host's heartbeat. Its fields have the operators' names.
type Beat struct {
	Carrier    string  `json:"carrier"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Edition    string  `json:"edition"`
	Berths     int     `json:"berths"`
	Condition  string  `json:"condition"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Sequence   uint64  `json:"sequence"`
}

// Station validates a heartbeat and converts it to the data plane's record of the host.
func (b *Beat) Station(id string) (sidecar.Heartbeat, error) {
	s := sidecar.Heartbeat{ID: id, Service: b.Carrier, Address: b.Address, Zone: b.Zone, Slots: b.Berths, WarmUpLeftMs: int(b.ColdLeftMs),
		Sequence: b.Sequence}
	switch strings.TrimSpace(b.Condition) {
	case "at_dock":
	case "unloading":
		s.Draining = true
	default:
		return s, Refusal{Status: http.StatusBadRequest, Why: "condition: neither at_dock nor unloading"}
	}
	if id == "" {
		return s, Refusal{Status: http.StatusBadRequest, Why: "stationId: is missing"}
	}
	return s, nil
}

// Taken acknowledges a configuration with its version. One that is not newer than the one held is acknowledged too.
type Taken struct {
	Edition uint64 `json:"taken"`
}

// Order is an operator's order to take a host out for requests that must not run twice, or to call it back.
type Order struct {
	Out   bool   `json:"out"`
	Force bool   `json:"force"` // required where less than half of the service's hosts would be left
	By    string `json:"by"`
	Why   string `json:"why"`
}
