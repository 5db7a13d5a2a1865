package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
)

const (
	maxStateBytes     = 1 << 20 // a longer state file was not written by this package
	lockRetryInterval = 5 * time.Millisecond
)

// ErrCorrupt is returned for a state file that is truncated or invalid. The file has been renamed: its name now ends in .bad.
var ErrCorrupt = errors.New("state file is corrupt and was set aside")

// File is a state file with one JSON value of type T, which several processes of a proxy share. The zero value of T stands for
// a missing file.
type File[T any] struct {
	path  string
	check func(T) error
	known fs.FileInfo // the file that this File last read or wrote; nil: there was none
}

// NewFile returns a File for a path, without opening it. check returns an error for an invalid value.
func NewFile[T any](path string, check func(T) error) *File[T] {
	return &File[T]{path: path, check: check}
}

// envelope is the JSON format of a state file.
type envelope[T any] struct {
	Version int `json:"version"`
	State   T   `json:"state"`
}

const stateVersion = 1

// Read returns the value in the file, or the zero value if there is no file. It renames a corrupt file and returns ErrCorrupt
// with the zero value.
func (f *File[T]) Read() (T, error) {
	var zero T
	file, err := os.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		f.known = nil
		return zero, nil
	}
	if err != nil {
		return zero, fmt.Errorf("state: %w", err)
	}
	defer file.Close()
	if f.known, err = file.Stat(); err != nil {
		return zero, fmt.Errorf("state: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(file, maxStateBytes+1))
	if err != nil {
		return zero, fmt.Errorf("state: %w", err)
	}
	v, err := f.parse(text)
	if err != nil {
		return zero, errors.Join(fmt.Errorf("%w: %s: %w", ErrCorrupt, f.path, err), os.Rename(f.path, f.path+".bad"))
	}
	return v, nil
}

// parse decodes and checks the text of a state file.
func (f *File[T]) parse(text []byte) (T, error) {
	var s envelope[T]
	var zero T
	if len(text) > maxStateBytes {
		return zero, errors.New("too long")
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return zero, err
	}
	if s.Version != stateVersion {
		return zero, fmt.Errorf("version %d, not %d", s.Version, stateVersion)
	}
	return s.State, f.check(s.State)
}

// Write replaces the file atomically.
func (f *File[T]) Write(v T) error {
	text, err := json.Marshal(envelope[T]{stateVersion, v})
	if err == nil && len(text) > maxStateBytes {
		err = errors.New("too long")
	}
	if err == nil {
		err = renameio.WriteFile(f.path, text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	f.known, _ = os.Stat(f.path)
	return nil
}

// Changed reports whether the file differs from the one that this File last read or wrote.
func (f *File[T]) Changed() bool {
	current, err := os.Stat(f.path)
	if err != nil || f.known == nil {
		return (err == nil) != (f.known != nil)
	}
	return !os.SameFile(current, f.known) || !current.ModTime().Equal(f.known.ModTime()) || current.Size() != f.known.Size()
}

// Lock acquires an advisory lock that all processes take before they change the file, and holds it until unlock is called. It
// waits for the lock until ctx is cancelled.
func (f *File[T]) Lock(ctx context.Context) (unlock func(), err error) {
	file, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { file.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			file.Close()
			return nil, fmt.Errorf("state: lock: %w", err)
		}
		select {
		case <-ctx.Done():
			file.Close()
			return nil, fmt.Errorf("state: lock: %w", ctx.Err())
		case <-time.After(lockRetryInterval):
		}
	}
}
