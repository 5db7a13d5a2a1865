package ops

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const mostID = 256

var errNoObject = errors.New(`the body has to be one JSON object: {"who":"ID"}`)

// parseWho reads {"who":"ID"}. encoding/json alone would take the last of several ids, and field names in any case.
func parseWho(body []byte) (string, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return "", errNoObject
	}
	id, seen := "", false
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return "", errNoObject
		}
		switch name, _ := t.(string); {
		case name != "who":
			return "", fmt.Errorf("unknown field %.64q", name)
		case seen:
			return "", errors.New(`field "who" stands twice`)
		}
		if t, err = d.Token(); err != nil {
			return "", errNoObject
		}
		var text bool
		if id, text = t.(string); !text {
			return "", errors.New(`field "who" has to be a text`)
		}
		seen = true
	}
	if _, err := d.Token(); err != nil { // the closing brace
		return "", errNoObject
	}
	if _, err := d.Token(); err != io.EOF {
		return "", errNoObject
	}
	switch {
	case !seen || id == "":
		return "", errors.New(`field "who" is missing`)
	case len(id) > mostID:
		return "", errors.New(`field "who" is too long`)
	}
	return id, nil
}
