package ops

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ZoneOrder is a call that takes a zone, or all zones of a region, out of service for the whole fleet, or back into service.
type ZoneOrder struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Out    *bool  `json:"out"`
	Force  bool   `json:"force"` // carry it out even if less than half of the fleet is left
	Dry    bool   `json:"dry"`   // report only what the call would do
}

// parseZone parses and checks a ZoneOrder.
func parseZone(body []byte) (o ZoneOrder, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return o, fmt.Errorf(`the body has to be like {"zone":"NAME","out":true}: %w`, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return o, errors.New("the body has to be one JSON object")
	}
	switch {
	case (o.Zone == "") == (o.Region == ""):
		return o, errors.New(`either "zone" or "region" has to be named`)
	case len(o.Zone) > maxIDBytes || len(o.Region) > maxIDBytes:
		return o, errors.New("the name is too long")
	case o.Out == nil:
		return o, errors.New(`field "out" is missing`)
	}
	return o, nil
}
