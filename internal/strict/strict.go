// Package strict reads TOML files in which every mistake is named by file, line and field, all of them at once where the
// text can be read at all. It knows nothing of what a file means.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is a value that makes no sense, and why. A field of the second [[fault]] is "fault.1.at".
type Fault struct{ Field, Why string }

// Decode reads a file's text into v, which holds the defaults. check is then asked for what makes no sense. name stands for
// the file in errors, which are joined, one a line.
func Decode(name string, text []byte, v any, check func() []Fault) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var faulty *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such field", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &faulty):
		line, _ := faulty.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, line, strings.Join(faulty.Key(), "."), err)
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

// Checker collects faults.
type Checker struct{ Faults []Fault }

// Add notes a fault if there is one.
func (c *Checker) Add(bad bool, field, format string, args ...any) {
	if bad {
		c.Faults = append(c.Faults, Fault{Field: field, Why: fmt.Sprintf(format, args...)})
	}
}

// lineOf is the line of a field, or of the table that lacks it.
func lineOf(lines map[string]int, field string) int {
	for field != "" {
		if n := lines[field]; n > 0 {
			return n
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 1
}

// linesOf finds the line of each field and table in a text that has been decoded without a fault.
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
