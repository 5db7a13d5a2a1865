// Package api holds the common parts of the HTTP APIs that the sidecar and the control server offer to hosts and operators.
// Handle registers a call with the types of its request and response, and converts both from and to JSON.
package api

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/sidecar"
)

// Error is an error with an HTTP status. Its message is sent to the caller, so the texts of messages are part of the API. Other
// errors that a call returns get status 503.
type Error struct {
	Status   int
	Message  string
	Location string // target of a redirect; empty: none
}

func (e Error) Error() string { return e.Message }

// Request holds what a call gets besides the decoded body.
type Request struct {
	ID   string // the {id} in the path
	Body []byte // the undecoded body
}

// The size limits of request bodies.
const (
	SmallBodyBytes = 64 << 10
	LargeBodyBytes = 16 << 20
)

// Handle registers one call. The request body, of at most maxBodyBytes, is decoded from JSON to In, unless In is RawJSON (the
// undecoded body) or Empty (the body is ignored). Out is encoded as JSON, unless it is RawJSON, which is sent unchanged.
func Handle[In, Out any](mux *http.ServeMux, pattern string, maxBodyBytes int64, serve func(c Request, in *In) (*Out, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := decodeAndServe(w, r, maxBodyBytes, serve)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			status := http.StatusServiceUnavailable
			if apiErr := (Error{}); errors.As(err, &apiErr) {
				status = apiErr.Status
				if apiErr.Location != "" {
					w.Header().Set("Location", apiErr.Location)
				}
			}
			w.WriteHeader(status)
			json.NewEncoder(w).Encode(struct {
				Error string `json:"fault"`
			}{err.Error()})
			return
		}
		switch out := any(out).(type) {
		case *RawJSON:
			w.Write(*out)
		default:
			json.NewEncoder(w).Encode(out)
		}
	})
}

// RawJSON is a body that is already encoded as JSON.
type RawJSON []byte

// Empty is the type of a missing body.
type Empty struct{}

// decodeAndServe decodes a request body and calls serve.
func decodeAndServe[In, Out any](w http.ResponseWriter, r *http.Request, maxBodyBytes int64,
	serve func(Request, *In) (*Out, error)) (*Out, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return nil, Error{Status: http.StatusRequestEntityTooLarge, Message: "body is too large"}
		}
		return nil, Error{Status: http.StatusBadRequest, Message: "body has not come whole"}
	}
	in := new(In)
	if _, empty := any(in).(*Empty); !empty {
		if _, raw := any(in).(*RawJSON); raw {
			*any(in).(*RawJSON) = body
		} else if err := json.Unmarshal(body, in); err != nil {
			return nil, Error{Status: http.StatusBadRequest, Message: "cannot be read: " + err.Error()}
		}
	}
	return serve(Request{ID: r.PathValue("id"), Body: body}, in)
}

// Beat is the heartbeat that a host sends to the proxy beside it. The JSON names are those of the operators' API. The name of the
// type is visible to callers in errors of encoding/json, as is that of Order.
type Beat struct {
	Service      string  `json:"carrier"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"edition"`
	Slots        int     `json:"berths"`
	Condition    string  `json:"condition"`
	WarmUpLeftMs float64 `json:"coldLeftMs"`
	Sequence     uint64  `json:"sequence"`
}

// ToSidecar validates a heartbeat of the host with the given ID and converts it to the sidecar's type.
func (h *Beat) ToSidecar(id string) (sidecar.Heartbeat, error) {
	converted := sidecar.Heartbeat{ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Slots: h.Slots,
		WarmUpLeftMs: int(h.WarmUpLeftMs), Sequence: h.Sequence}
	switch strings.TrimSpace(h.Condition) {
	case "at_dock":
	case "unloading":
		converted.Draining = true
	default:
		return converted, Error{Status: http.StatusBadRequest, Message: "condition: neither at_dock nor unloading"}
	}
	if id == "" {
		return converted, Error{Status: http.StatusBadRequest, Message: "stationId: is missing"}
	}
	return converted, nil
}

// AcceptedConfig acknowledges a configuration by its version. A configuration that is not newer than the current one is
// acknowledged too.
type AcceptedConfig struct {
	Version uint64 `json:"taken"`
}

// Order is an operator's order to eject a host for requests that must not run twice, or to restore the host.
type Order struct {
	Eject  bool   `json:"out"`
	Force  bool   `json:"force"` // required if less than half of the service's hosts would remain
	By     string `json:"by"`
	Reason string `json:"why"`
}
