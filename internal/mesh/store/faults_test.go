package store

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
)

// memoryDisk is a Disk in memory. It fails at chosen steps and records every step, so that a power loss can be
// simulated at any of them.
type memoryDisk struct {
	names    map[string]*memoryFile
	steps    []step
	fail     map[int]fault // faults by step number
	capacity int           // limit on the bytes of all files; 0: no limit
	readFail error
}

type memoryFile struct {
	disk       *memoryDisk
	id         int
	content    []byte
	syncFailed bool // a sync failed; like the kernel's, later syncs persist nothing and return no error
}

type fault int

const (
	ioError    fault = iota + 1 // nothing is done
	shortWrite                  // a write stores half of its bytes, then the disk is full; other steps do nothing
)

type stepKind int

const (
	stepCreate stepKind = iota
	stepWrite
	stepTruncate
	stepSync
	stepRemove
	stepSyncNames
	stepAcknowledged // a Write returned without an error
	stepNone         // nothing was done
)

// step is one change of a memoryDisk.
type step struct {
	kind   stepKind
	name   string
	file   int
	text   []byte
	size   int64
	number int // of the acknowledged batch
}

func newMemoryDisk(files map[string][]byte) *memoryDisk {
	d := &memoryDisk{names: map[string]*memoryFile{}}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		f := &memoryFile{disk: d, id: len(d.steps), content: bytes.Clone(files[name])}
		d.names[name] = f
		d.steps = append(d.steps, step{kind: stepCreate, name: name, file: f.id},
			step{kind: stepWrite, file: f.id, text: f.content}, step{kind: stepSync, file: f.id})
	}
	d.steps = append(d.steps, step{kind: stepSyncNames})
	return d
}

// take records a step, or returns the error of the fault that is set for it.
func (d *memoryDisk) take(s step) error {
	f := d.fail[len(d.steps)]
	if f == 0 {
		d.steps = append(d.steps, s)
		return nil
	}
	d.steps = append(d.steps, step{kind: stepNone})
	if f == shortWrite {
		return syscall.ENOSPC
	}
	return syscall.EIO
}

func (d *memoryDisk) Names() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *memoryDisk) Open(name string) (io.ReadCloser, error) {
	f := d.names[name]
	if f == nil {
		return nil, syscall.ENOENT
	}
	if d.readFail != nil {
		text := f.content[:len(f.content)/2]
		return io.NopCloser(io.MultiReader(bytes.NewReader(text), failingReader{d.readFail})), nil
	}
	return io.NopCloser(bytes.NewReader(f.content)), nil
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

func (d *memoryDisk) Create(name string) (File, error) {
	f := &memoryFile{disk: d, id: len(d.steps)}
	if err := d.take(step{kind: stepCreate, name: name, file: f.id}); err != nil {
		return nil, err
	}
	d.names[name] = f
	return f, nil
}

func (d *memoryDisk) Remove(name string) error {
	if d.names[name] == nil {
		return syscall.ENOENT
	}
	if err := d.take(step{kind: stepRemove, name: name}); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *memoryDisk) Sync() error { return d.take(step{kind: stepSyncNames}) }

func (d *memoryDisk) used() (sum int) {
	for _, f := range d.names {
		sum += len(f.content)
	}
	return sum
}

func (f *memoryFile) Write(p []byte) (int, error) {
	number, room := len(f.disk.steps), len(p)
	if f.disk.capacity > 0 {
		room = min(room, max(0, f.disk.capacity-f.disk.used()))
	}
	switch f.disk.fail[number] {
	case ioError:
		return 0, f.disk.take(step{})
	case shortWrite:
		room = len(p) / 2
	}
	f.content = append(f.content, p[:room]...)
	f.disk.steps = append(f.disk.steps, step{kind: stepWrite, file: f.id, text: bytes.Clone(p[:room])})
	if room < len(p) {
		return room, syscall.ENOSPC
	}
	return room, nil
}

func (f *memoryFile) Sync() error {
	if f.syncFailed {
		f.disk.steps = append(f.disk.steps, step{kind: stepNone})
		return nil
	}
	err := f.disk.take(step{kind: stepSync, file: f.id})
	f.syncFailed = err != nil
	return err
}

func (f *memoryFile) Truncate(size int64) error {
	err := f.disk.take(step{kind: stepTruncate, file: f.id, size: size})
	if err == nil {
		f.content = f.content[:size]
	}
	return err
}

func (f *memoryFile) Close() error { return nil }

// crashState is a disk at the moment of a power loss: what is durable, and what may be kept or lost.
type crashState struct {
	synced  map[int][]byte // content of the files at their last sync
	written map[int][]byte // content of the files as the process saw it
	names   map[string]int // directory entries at the last sync of the directory
	pending []step         // names created and removed since
	last    int            // the file that was written last
}

func crashAfter(steps []step) *crashState {
	w := &crashState{synced: map[int][]byte{}, written: map[int][]byte{}, names: map[string]int{}, last: -1}
	for _, s := range steps {
		switch s.kind {
		case stepCreate:
			w.pending = append(w.pending, s)
		case stepWrite:
			w.written[s.file], w.last = append(slices.Clip(w.written[s.file]), s.text...), s.file
		case stepTruncate:
			w.written[s.file] = w.written[s.file][:s.size]
		case stepSync:
			w.synced[s.file] = w.written[s.file]
		case stepRemove:
			w.pending = append(w.pending, s)
		case stepSyncNames:
			applyNames(w.names, w.pending)
			w.pending = nil
		}
	}
	return w
}

func applyNames(names map[string]int, changes []step) {
	for _, c := range changes {
		if c.kind == stepCreate {
			names[c.name] = c.file
		} else {
			delete(names, c.name)
		}
	}
}

// nameSets returns all sets of names that may remain: each change since the last sync of the directory is kept
// or lost independently.
func (w *crashState) nameSets() (sets []map[string]int) {
	for choice := range 1 << len(w.pending) {
		names := maps.Clone(w.names)
		for i, change := range w.pending {
			if choice&(1<<i) != 0 {
				applyNames(names, []step{change})
			}
		}
		sets = append(sets, names)
	}
	return sets
}

// contents returns what may remain of the file that was written last: its unsynced part cut at every stride-th
// byte, each such cut filled up with zeros, and the complete file with a hole.
func (w *crashState) contents(stride int) (all [][]byte) {
	written, synced := w.written[w.last], len(w.synced[w.last])
	for cut := synced; cut < len(written); cut += stride {
		left := bytes.Clone(written[:cut])
		all = append(all, left, append(slices.Clip(left), make([]byte, len(written)-cut)...))
		if stride == 1 && cut%holeEvery != 0 {
			continue
		}
		hole := bytes.Clone(written)
		clear(hole[cut:min(cut+holeBytes, len(hole))])
		all = append(all, hole)
	}
	return append(all, written)
}

const (
	holeBytes = 5 // fits into the value of a removed name
	holeEvery = 4 // bytes from one hole to the next; less than holeBytes, so that holes overlap
)

// disks returns the files of every disk state that may be found after the power loss.
func (w *crashState) disks(stride int) (all []map[string][]byte) {
	for _, names := range w.nameSets() {
		for _, content := range w.contents(stride) {
			files := map[string][]byte{}
			for name, id := range names {
				files[name] = w.written[id]
				if id == w.last {
					files[name] = content
				}
			}
			all = append(all, files)
			for name, id := range names { // the other files as of their last sync
				if id == w.last || len(w.synced[id]) == len(w.written[id]) {
					continue
				}
				other := maps.Clone(files)
				other[name] = w.synced[id]
				all = append(all, other)
			}
		}
	}
	return all
}

var errRead = errors.New("disk read error")
