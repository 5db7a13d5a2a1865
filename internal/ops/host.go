package ops

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const maxIDBytes = 256

var errNotObject = errors.New(`the body has to be one JSON object: {"who":"ID"}`)

// parseHostID parses a body of the form {"who":"ID"}. It does not use json.Unmarshal, which accepts duplicate fields, keeping the
// last one, and ignores the case of field names.
func parseHostID(body []byte) (string, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return "", errNotObject
	}
	id, seen := "", false
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return "", errNotObject
		}
		switch name, _ := t.(string); {
		case name != "who":
			return "", fmt.Errorf("unknown field %.64q", name)
		case seen:
			return "", errors.New(`field "who" stands twice`)
		}
		if t, err = d.Token(); err != nil {
			return "", errNotObject
		}
		var text bool
		if id, text = t.(string); !text {
			return "", errors.New(`field "who" has to be a text`)
		}
		seen = true
	}
	if _, err := d.Token(); err != nil { // the closing brace
		return "", errNotObject
	}
	if _, err := d.Token(); err != io.EOF {
		return "", errNotObject
	}
	switch {
	case !seen || id == "":
		return "", errors.New(`field "who" is missing`)
	case len(id) > maxIDBytes:
		return "", errors.New(`field "who" is too long`)
	}
	return id, nil
}
