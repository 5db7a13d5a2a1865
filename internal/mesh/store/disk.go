package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Disk is the directory of a store. Tests replace it by one that fails or loses power at a chosen step.
type Disk interface {
	// Names lists the files. A directory that does not exist has none.
	Names() ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates an empty file, and the directory if it does not exist. Before Sync a power loss may undo
	// the creation.
	Create(name string) (File, error)
	// Remove removes a file. Before Sync a power loss may undo the removal.
	Remove(name string) error
	// Sync makes the creations and removals so far durable.
	Sync() error
}

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes the bytes written so far durable.
	Sync() error
	// Truncate cuts the file to its first size bytes.
	Truncate(size int64) error
}

// directory is a Disk in the file system of the operating system.
type directory struct {
	path     string
	unsynced []string // directories with subdirectories that were created since the last sync
}

func (f *directory) Names() ([]string, error) {
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

func (f *directory) Open(name string) (io.ReadCloser, error) {
	return os.Open(filepath.Join(f.path, name))
}

func (f *directory) Create(name string) (File, error) {
	if err := f.makeDir(f.path); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(f.path, name))
}

// makeDir creates a directory and its parents, and records the parents that need a sync.
func (f *directory) makeDir(path string) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(path)
	if err := f.makeDir(parent); err != nil {
		return err
	}
	if err := os.Mkdir(path, 0o755); err != nil {
		return err
	}
	f.unsynced = append(f.unsynced, parent)
	return nil
}

func (f *directory) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

func (f *directory) Sync() error {
	for len(f.unsynced) > 0 {
		if err := syncDir(f.unsynced[0]); err != nil {
			return err
		}
		f.unsynced = f.unsynced[1:]
	}
	return syncDir(f.path)
}

// syncDir syncs a directory, so that its entries outlast a power loss.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
