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
	mostState = 1 << 20 // bytes of a state file; a longer one is none of ours
	lockRetry = 5 * time.Millisecond
)

// ErrTorn says that a state file made no sense. It has been set aside under the same name with .bad at its end.
var ErrTorn = errors.New("state file made no sense and was set aside")

// File is a state file of one JSON value of type T, which processes share. Its zero value stands for a file that is not
// there.
type File[T any] struct {
	path  string
	check func(T) error
	seen  fs.FileInfo // of the file last read or written here; nil: none
}

// NewFile names a state file. check refuses values that make no sense.
func NewFile[T any](path string, check func(T) error) *File[T] {
	return &File[T]{path: path, check: check}
}

// state is the form of a file.
type state[T any] struct {
	Version int `json:"version"`
	State   T   `json:"state"`
}

const stateVersion = 1

// Read gives what the file holds. A file that makes no sense is set aside, and counts as none.
func (f *File[T]) Read() (T, error) {
	var none T
	file, err := os.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		f.seen = nil
		return none, nil
	}
	if err != nil {
		return none, fmt.Errorf("state: %w", err)
	}
	defer file.Close()
	if f.seen, err = file.Stat(); err != nil {
		return none, fmt.Errorf("state: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(file, mostState+1))
	if err != nil {
		return none, fmt.Errorf("state: %w", err)
	}
	v, err := f.parse(text)
	if err != nil {
		return none, errors.Join(fmt.Errorf("%w: %s: %w", ErrTorn, f.path, err), os.Rename(f.path, f.path+".bad"))
	}
	return v, nil
}

func (f *File[T]) parse(text []byte) (T, error) {
	var s state[T]
	var none T
	if len(text) > mostState {
		return none, errors.New("too long")
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return none, err
	}
	if s.Version != stateVersion {
		return none, fmt.Errorf("version %d, not %d", s.Version, stateVersion)
	}
	return s.State, f.check(s.State)
}

// Write replaces the file whole or not at all.
func (f *File[T]) Write(v T) error {
	text, err := json.Marshal(state[T]{stateVersion, v})
	if err == nil && len(text) > mostState {
		err = errors.New("too long")
	}
	if err == nil {
		err = renameio.WriteFile(f.path, text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	f.seen, _ = os.Stat(f.path)
	return nil
}

// Changed says whether the file is another than the one last read or written here.
func (f *File[T]) Changed() bool {
	is, err := os.Stat(f.path)
	if err != nil || f.seen == nil {
		return (err == nil) != (f.seen != nil)
	}
	return !os.SameFile(is, f.seen) || !is.ModTime().Equal(f.seen.ModTime()) || is.Size() != f.seen.Size()
}

// Lock keeps other processes from changing the file until unlock is called. It waits no longer than ctx.
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
		case <-time.After(lockRetry):
		}
	}
}
