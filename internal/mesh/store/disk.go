package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Disk is the folder that a store lies in. Tests put one in its place that fails, or loses power, at a
// chosen step.
type Disk interface {
	// Names lists the files. A folder that does not exist has none.
	Names() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create makes an empty file, and the folder if it does not exist. The name may be lost with power
	// before Sync.
	Create(name string) (File, error)
	// Remove takes a file away. It may be there again after a loss of power before Sync.
	Remove(name string) error
	// Sync returns once the names that were made and removed will outlast a loss of power.
	Sync() error
}

// File is a file that is being written, from its start to its end.
type File interface {
	io.WriteCloser
	// Sync returns once the bytes written so far will outlast a loss of power.
	Sync() error
	// Truncate cuts the file to its first size bytes.
	Truncate(size int64) error
}

// folder is the Disk of the operating system.
type folder struct {
	path     string
	unsynced []string // folders in which a folder has been made since they were synced
}

func (f *folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (f *folder) Open(name string) (io.ReadCloser, error) {
	return os.Open(filepath.Join(f.path, name))
}

func (f *folder) Create(name string) (File, error) {
	if err := f.make(f.path); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(f.path, name))
}

// make makes a folder and those above it, and notes where the new names stand.
func (f *folder) make(path string) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(path)
	if err := f.make(parent); err != nil {
		return err
	}
	if err := os.Mkdir(path, 0o755); err != nil {
		return err
	}
	f.unsynced = append(f.unsynced, parent)
	return nil
}

func (f *folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

func (f *folder) Sync() error {
	for len(f.unsynced) > 0 {
		if err := syncFolder(f.unsynced[0]); err != nil {
			return err
		}
		f.unsynced = f.unsynced[1:]
	}
	return syncFolder(f.path)
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
