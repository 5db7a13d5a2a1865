// Package store keeps what a control process has promised on its disk. (The field's term: durable store.)
//
// A generation is one buntdb file. Writes go in batches: one transaction, one sync, and only then are they promised. A start
// reads the newest whole generation, writes what it holds into the next one, and uses that: so what was torn at the end of the
// last one is never written behind. Nothing is ever renamed; the library's own way to shrink a file is off, as it renames one
// without syncing the folder, and after a loss of power the old file would be there again without what came later.
//
// A name has two slots, written by turns: a torn write can only spoil the one that is not needed. Every value carries a
// checksum, so that a slot whose write was torn inside is told from a good one.
package store

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

const (
	pattern   = "store-%08d.bunt"
	wholeMark = "~whole" // sorts behind all names, so it is written last into a new generation
	leastTurn = 24 << 20 // bytes written before a generation may be replaced
	turnTimes = 3        // of what is live
	headBytes = 8        // checksum, sequence
	slots     = 2
)

// Put is one value to be kept. An empty one takes the name away.
type Put struct {
	Name  string
	Value []byte
}

// Store is a folder's store. Write is for one caller at a time.
type Store struct {
	dir        string
	generation int
	db         *buntdb.DB
	seq        map[string]uint32 // of each name
	live       map[string]int    // bytes of it
	liveSum    int
	written    int
	mu         sync.Mutex
}

// Open opens the store of a folder; found says whether one was there.
func Open(dir string) (v *Store, values map[string][]byte, found bool, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, false, errors.Wrap(err, "store")
	}
	v = &Store{dir: dir, seq: map[string]uint32{}, live: map[string]int{}}
	files, err := generations(dir)
	if err != nil {
		return nil, nil, false, err
	}
	values = map[string][]byte{}
	for _, g := range slices.Backward(files) {
		v.generation = max(v.generation, g)
		if found {
			continue
		}
		if found, err = v.load(g, values); err != nil {
			return nil, nil, false, err
		}
	}
	if err := v.turn(values); err != nil {
		return nil, nil, false, err
	}
	return v, values, found, nil
}

func generations(dir string) (all []int, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	for _, e := range entries {
		var g int
		if n, _ := fmt.Sscanf(e.Name(), pattern, &g); n == 1 {
			all = append(all, g)
		}
	}
	slices.Sort(all)
	return all, nil
}

func (v *Store) path(g int) string { return filepath.Join(v.dir, fmt.Sprintf(pattern, g)) }

// load reads a generation; whole says whether it had been written in full before it was used. Bytes that make no sense end it:
// they belong to a batch whose sync never returned, as every one before it was synced before the next began.
func (v *Store) load(g int, values map[string][]byte) (whole bool, err error) {
	f, err := os.Open(v.path(g))
	if err != nil {
		return false, errors.Wrap(err, "store")
	}
	defer f.Close()
	db, err := buntdb.Open(":memory:")
	if err != nil {
		return false, errors.Wrap(err, "store")
	}
	defer db.Close()
	_ = db.Load(bufio.NewReaderSize(f, 1<<16)) // what came before the first senseless byte is in db
	err = db.View(func(tx *buntdb.Tx) error {
		if _, err := tx.Get(wholeMark); err != nil {
			return nil
		}
		whole = true
		return tx.Ascend("", func(key, text string) bool {
			name, at := strings.TrimSuffix(strings.TrimSuffix(key, "/0"), "/1"), len(text)
			if key == wholeMark || at < headBytes || len(name) == len(key) {
				return true
			}
			seq := binary.BigEndian.Uint32([]byte(text[4:8]))
			if crc32.ChecksumIEEE([]byte(text[4:])) != binary.BigEndian.Uint32([]byte(text[:4])) {
				return true // torn: the other slot holds
			}
			if old, known := v.seq[name]; known && old >= seq {
				return true
			}
			v.seq[name], values[name] = seq, []byte(text[headBytes:])
			return true
		})
	})
	for name, value := range values { // an empty one was taken away
		if len(value) == 0 {
			delete(values, name)
		}
	}
	return whole, errors.Wrap(err, "store")
}

// turn begins the next generation with what is to be kept, and drops those before it once it stands on the disk.
func (v *Store) turn(values map[string][]byte) error {
	v.generation++
	path := v.path(v.generation)
	mem, err := buntdb.Open(":memory:")
	if err != nil {
		return errors.Wrap(err, "store")
	}
	defer mem.Close()
	v.seq, v.live, v.liveSum, v.written = map[string]uint32{}, map[string]int{}, 0, 0
	err = mem.Update(func(tx *buntdb.Tx) error {
		for name, value := range values {
			if err := v.set(tx, Put{name, value}); err != nil {
				return err
			}
		}
		_, _, err := tx.Set(wholeMark, "1", nil)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "store")
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	w := bufio.NewWriterSize(f, 1<<16)
	if err = mem.Save(w); err == nil {
		err = w.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = syncFolder(v.dir)
	}
	if err != nil {
		return errors.Wrap(err, "store")
	}
	db, err := buntdb.Open(path)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return errors.Wrap(err, "store")
	}
	if v.db != nil {
		v.db.Close()
	}
	v.db = db
	old, err := generations(v.dir)
	if err != nil {
		return err
	}
	for _, g := range old { // one that cannot be removed is only read past at the next start
		if g < v.generation {
			os.Remove(v.path(g))
		}
	}
	return nil
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// set writes one value into the slot that its name does not need.
func (v *Store) set(tx *buntdb.Tx, p Put) error {
	seq := v.seq[p.Name] + 1
	if len(p.Value) == 0 {
		for s := range slots {
			if _, err := tx.Delete(fmt.Sprintf("%s/%d", p.Name, s)); err != nil && err != buntdb.ErrNotFound {
				return err
			}
		}
		v.liveSum -= v.live[p.Name]
		delete(v.live, p.Name)
		delete(v.seq, p.Name)
		return nil
	}
	buf := make([]byte, headBytes, headBytes+len(p.Value))
	binary.BigEndian.PutUint32(buf[4:], seq)
	buf = append(buf, p.Value...)
	binary.BigEndian.PutUint32(buf, crc32.ChecksumIEEE(buf[4:]))
	_, _, err := tx.Set(fmt.Sprintf("%s/%d", p.Name, seq%slots), string(buf), nil)
	v.seq[p.Name] = seq
	v.liveSum += len(buf) + len(p.Name) - v.live[p.Name]
	v.live[p.Name] = len(buf) + len(p.Name)
	v.written += len(buf) + len(p.Name)
	return err
}

// Write keeps a batch. When it returns without an error the batch has been synced; with one, nothing of it may be promised.
func (v *Store) Write(batch []Put) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	err := v.db.Update(func(tx *buntdb.Tx) error {
		for _, p := range batch {
			if err := v.set(tx, p); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return errors.Wrap(err, "store")
	}
	if v.written > max(leastTurn, turnTimes*v.liveSum) {
		return v.shrink()
	}
	return nil
}

// shrink turns to a new generation that holds only what is live.
func (v *Store) shrink() error {
	values := map[string][]byte{}
	err := v.db.View(func(tx *buntdb.Tx) error {
		for name, seq := range v.seq {
			text, err := tx.Get(fmt.Sprintf("%s/%d", name, seq%slots))
			if err != nil {
				return err
			}
			values[name] = []byte(text[headBytes:])
		}
		return nil
	})
	if err != nil {
		return errors.Wrap(err, "store")
	}
	return v.turn(values)
}

// Close ends the use of the store.
func (v *Store) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.db.Close()
}
