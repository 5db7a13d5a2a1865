// Package site reads the operator's file: what an operator sets beside what the platform tells. It knows no sockets and
// starts nothing. A file is read whole or refused whole, with every fault named by file, line and field.
package site

import (
	"fmt"
	"os"
	"time"

	"beechwing/internal/strict"
)

// File is an operator's file with defaults in place.
type File struct {
	Connections Connections `toml:"connections"`
}

// Connections is the table of callers' connections.
type Connections struct {
	// Callers is what counts as one caller: "application" (all connections are one application's, as on the platform) or
	// "address" (each source address is a caller of its own, as desk tools are).
	Callers string `toml:"callers"`
	// Limit bounds the connections held; 0: as many as descriptors and memory allow.
	Limit int `toml:"limit"`
	// Idle is how long a connection may stay between two requests while at most half of the limit is used.
	Idle Duration `toml:"idle"`
	// IdleFull is the same with all of the limit used; in between it falls in proportion.
	IdleFull Duration `toml:"idle_full"`
	// First is the time for a new connection to bring its first request whole.
	First Duration `toml:"first"`
}

// The values of Connections.Callers.
const (
	Application = "application"
	Address     = "address"
)

// Duration is a time such as "30s" or "8h".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Default is what holds without a file.
func Default() File {
	return File{Connections: Connections{Callers: Application, Idle: Duration(30 * time.Second),
		IdleFull: Duration(2 * time.Second), First: Duration(2500 * time.Millisecond)}}
}

// Load reads the file at path.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text. name stands for the file in errors, which are joined, one a line.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	if err := strict.Decode(name, text, &f, func() []strict.Fault { return f.check() }); err != nil {
		return File{}, err
	}
	return f, nil
}

func (f File) check() (faults []strict.Fault) {
	add := func(bad bool, field, why string) {
		if bad {
			faults = append(faults, strict.Fault{Field: "connections." + field, Why: why})
		}
	}
	c := f.Connections
	add(c.Callers != Application && c.Callers != Address, "callers",
		fmt.Sprintf("%q is neither %q nor %q", c.Callers, Application, Address))
	add(c.Limit < 0, "limit", "is below 0; leave it out for as many as the machine allows")
	add(c.Idle < Duration(2*time.Second), "idle", "is under 2s; callers would lose connections that they are about to use")
	add(c.IdleFull <= 0 || c.IdleFull > c.Idle, "idle_full", "is not above 0 and at most idle")
	add(c.First <= 0 || c.First > Duration(time.Minute), "first", "is not above 0 and at most 1m")
	return faults
}
