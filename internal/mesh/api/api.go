// Package api is where hosts and operators call: every call and its answer are a pair of types behind one generic handler.
// (The field's term: API server.)
package api

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/sidecar"
)

// Refusal is an error that the protocol has a status for.
type Refusal struct {
	Status   int
	Why      string
	Location string // of a redirection
}

func (r Refusal) Error() string { return r.Why }

// Call is what a handler is told of a call besides its body.
type Call struct {
	ID   string // of the path
	Body []byte
}

// Bodies bound the calls, in bytes.
const (
	SmallBody = 64 << 10
	LargeBody = 16 << 20
)

// Handle serves one kind of call. In is read from JSON where it is not an empty struct; a nil *Out is an empty object; *Raw goes
// out as it is.
func Handle[In, Out any](mux *http.ServeMux, pattern string, most int64, serve func(c Call, in *In) (*Out, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := take(w, r, most, serve)
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

// Raw is an answer that stands as JSON already.
type Raw []byte

// None stands for a call or an answer without content.
type None struct{}

func take[In, Out any](w http.ResponseWriter, r *http.Request, most int64, serve func(Call, *In) (*Out, error)) (*Out, error) {
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

// Beat is a host's word on itself.
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

// Station checks a beat and gives it in the data plane's words.
func (b *Beat) Station(id string) (sidecar.Station, error) {
	s := sidecar.Station{ID: id, Carrier: b.Carrier, Address: b.Address, Zone: b.Zone, Berths: b.Berths, ColdMs: int(b.ColdLeftMs),
		Sequence: b.Sequence}
	switch strings.TrimSpace(b.Condition) {
	case "at_dock":
	case "unloading":
		s.Unloading = true
	default:
		return s, Refusal{Status: http.StatusBadRequest, Why: "condition: neither at_dock nor unloading"}
	}
	if id == "" {
		return s, Refusal{Status: http.StatusBadRequest, Why: "stationId: is missing"}
	}
	return s, nil
}

// Taken answers a configuration that was taken, or was overtaken already.
type Taken struct {
	Edition uint64 `json:"taken"`
}

// Order takes a host out by hand, or back, for what must not run twice.
type Order struct {
	Out   bool   `json:"out"`
	Force bool   `json:"force"` // the second word, where less than half of the service would be left
	By    string `json:"by"`
	Why   string `json:"why"`
}
