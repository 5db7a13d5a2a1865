// Package strict decodes TOML files and reports mistakes by file, line and field. Decode rejects unknown fields and reports all
// of them at once. If there are none, it reports all invalid values that the caller's check finds; Checker collects them. The
// package does not depend on what a file contains.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is an invalid value: the field that holds it, and the reason. Elements of an array of tables are numbered from 0; the
// field "at" of the second [[fault]] is "fault.1.at".
type Fault struct{ Field, Why string }

// Decode decodes a file's text into v, which holds the defaults, and then calls check, which returns the invalid values. Errors
// use name for the file and are joined, one per line.
func Decode(name string, text []byte, v any, check func() []Fault) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such field", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, line, strings.Join(malformed.Key(), "."), err)
	case err != nil:
		return fmt.Errorf("%s: %w", name, err)
	}
	var all []error
	var lines map[string]int
	for _, f := range check() {
		if lines == nil {
			lines = linesOf(text)
		}
		all = append(all, fmt.Errorf("%s:%d: %s: %s", name, lineOf(lines, f.Field), f.Field, f.Why))
	}
	return errors.Join(all...)
}

// Checker collects the faults of a file.
type Checker struct{ Faults []Fault }

// Add records a fault if bad is true.
func (c *Checker) Add(bad bool, field, format string, args ...any) {
	if bad {
		c.Faults = append(c.Faults, Fault{Field: field, Why: fmt.Sprintf(format, args...)})
	}
}

// lineOf returns the line of a field. For a field that is missing, it returns the line of the innermost table that exists, or 1.
func lineOf(lines map[string]int, field string) int {
	for field != "" {
		if n := lines[field]; n > 0 {
			return n
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 1
}

// linesOf returns the line of each field and table of a text that has already been decoded without an error.
func linesOf(text []byte) map[string]int {
	lines, count := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		offset := 0
		for it := e.Key(); it.Next(); {
			key = append(key, string(it.Node().Data))
			offset = int(it.Node().Raw.Offset)
		}
		name := strings.Join(key, ".")
		line := 1 + bytes.Count(text[:offset], []byte("\n"))
		switch e.Kind {
		case unstable.Table:
			table = name + "."
			lines[name] = line
		case unstable.ArrayTable:
			at := fmt.Sprintf("%s.%d", name, count[name])
			count[name]++
			table = at + "."
			lines[at] = line
		default:
			lines[table+name] = line
		}
	}
	return lines
}
