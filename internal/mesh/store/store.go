// Package store keeps what a control process has promised on its disk.
//
// A generation is one file in the form of buntdb's log. Writes go in batches: one write, one sync, and only
// then are they promised. A start reads the newest whole generation; the first write after it begins the
// next one, which holds what was read and what is new: so nothing is ever written behind a torn end. A
// write that fails leaves the file torn, or synced in part, so the one after it begins a new generation as
// well. The old generation goes once the new one and its name are synced. Nothing is ever renamed.
//
// A name has two slots, written by turns: a torn write can only spoil the one that is not needed. Every
// value carries a checksum, so that a slot whose write was torn inside is told from a good one. A name that
// is taken away gets an empty value, which the next generation leaves out.
package store

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	leastTurn = 24 << 20 // bytes of a generation before it may be replaced
	turnTimes = 3        // of what is live
	turnAgain = 8 << 20  // bytes until the next attempt, where there was no room for a new generation
)

// Put is one value to be kept. An empty one takes the name away. The value belongs to the store from then on.
type Put struct {
	Name  string
	Value []byte
}

// Store is a folder's store. Write is for one caller at a time.
type Store struct {
	mu         sync.Mutex
	disk       Disk
	code       *codec
	generation int               // the newest number in use
	file       File              // nil: the next write begins a generation
	size       int64             // bytes of the file that are synced
	records    map[string]record // what is kept, and what was taken away in this generation
	live       int64             // bytes of what is kept
	turnAt     int64             // size of the file at which the next generation is due
	progress   func()            // called after each part of a new generation; nil: nobody asks
}

// OnProgress has a function called after each part of a new generation that is written. It is to be set before the first Write.
func (s *Store) OnProgress(call func()) { s.progress = call }

func (s *Store) getsOn() {
	if s.progress != nil {
		s.progress()
	}
}

// Open reads the store of a folder; found says whether one was there. It writes nothing: a disk that takes
// no bytes is an error of the first Write. What was read may not be on the disk for good before the first
// Write has returned without an error: the sync of the last batch may have failed in the process before.
func Open(dir string) (s *Store, values map[string][]byte, found bool, err error) {
	return OpenDisk(&folder{path: dir})
}

// OpenDisk is Open for any Disk.
func OpenDisk(disk Disk) (s *Store, values map[string][]byte, found bool, err error) {
	code, err := newCodec()
	if err != nil {
		return nil, nil, false, err
	}
	if s, values, found, err = openWith(disk, code); err != nil {
		code.close()
	}
	return s, values, found, err
}

func openWith(disk Disk, code *codec) (s *Store, values map[string][]byte, found bool, err error) {
	s = &Store{disk: disk, code: code, records: map[string]record{}}
	if found, err = s.read(); err != nil {
		return nil, nil, false, err
	}
	values = map[string][]byte{}
	for name, r := range s.records {
		if len(r.value) > 0 {
			values[name] = bytes.Clone(r.value)
		}
	}
	return s, values, found, nil
}

// read takes over the newest whole generation. One that can't be read is an error, even if an older one
// can: it may hold promises that the older one doesn't.
func (s *Store) read() (found bool, err error) {
	all, err := generations(s.disk)
	if err != nil {
		return false, err
	}
	for i := len(all) - 1; i >= 0; i-- {
		s.generation = max(s.generation, all[i])
		records, whole, err := readGeneration(s.disk, s.code, all[i])
		if err != nil {
			return false, err
		}
		if whole {
			s.records = records
			return true, nil
		}
	}
	return false, nil
}

// Write keeps a batch; of two values for a name the later one. When it returns without an error the batch
// has been synced. With an error nothing of it may be promised, and the store is as before; a later Write
// may succeed. An empty batch makes sure that the disk takes writes since the store was opened, or since
// the last error.
func (s *Store) Write(batch []Put) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		_, err := s.begin(s.changes(batch))
		return err
	}
	if len(batch) == 0 {
		return nil
	}
	if err := s.append(s.changes(batch)); err != nil {
		s.abandon()
		return err
	}
	if s.size >= s.turnAt {
		s.turn()
	}
	return nil
}

// changes gives each name of a batch its newest value only, in the slot that the name does not need.
func (s *Store) changes(batch []Put) map[string]record {
	changes := make(map[string]record, len(batch))
	for _, p := range batch {
		changes[p.Name] = record{p.Name, s.records[p.Name].seq + 1, p.Value}
	}
	return changes
}

// append writes changes behind what the file holds.
func (s *Store) append(changes map[string]record) error {
	pairs := make(map[string]string, len(changes))
	for _, r := range changes {
		pairs[r.slot()] = r.text()
	}
	var text bytes.Buffer
	if err := s.code.encode(&text, pairs); err != nil {
		return errors.Wrap(err, "store")
	}
	if _, err := s.file.Write(text.Bytes()); err != nil {
		return errors.Wrap(err, "store: write")
	}
	if err := s.file.Sync(); err != nil {
		return errors.Wrap(err, "store: sync")
	}
	s.size += int64(text.Len())
	for name, r := range changes {
		s.live += liveBytes(r) - liveBytes(s.records[name])
		s.records[name] = r
	}
	return nil
}

func liveBytes(r record) int64 {
	if len(r.value) == 0 {
		return 0
	}
	return r.size()
}

// abandon gives up the file at hand: it stays as it was at its last sync until the next generation stands.
// What a failed write left behind that is given back, as the next generation needs the room.
func (s *Store) abandon() {
	_ = s.file.Truncate(s.size)
	_ = s.file.Close()
	s.file = nil
}

// turn begins a new generation to get rid of old values. Where there is no room for it the one at hand goes
// on.
func (s *Store) turn() {
	marked, err := s.begin(nil)
	switch {
	case err == nil:
	case marked: // a loss of power may leave either: only a still newer one may be written to
		s.abandon()
	default:
		s.turnAt = s.size + turnAgain
	}
}

// begin writes the next generation, with what is kept and what is to be changed, and removes those before
// it once it stands on the disk. After an error the store is as before. marked says that the new file may
// count as whole all the same: then the one before it may not be written to any more.
func (s *Store) begin(changes map[string]record) (marked bool, err error) {
	records, live := s.merge(changes)
	s.generation++
	name := fileName(s.generation)
	file, err := s.disk.Create(name)
	if err != nil {
		return false, errors.Wrap(err, "store: create")
	}
	size, marked, err := s.fill(file, records)
	if err != nil {
		_ = file.Close()
		_ = s.disk.Remove(name) // it needs room, and counts for nothing
		return marked, err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.size, s.records, s.live = file, size, records, live
	s.turnAt = max(leastTurn, turnTimes*live)
	s.removeOld()
	return true, nil
}

// merge is what a new generation holds.
func (s *Store) merge(changes map[string]record) (records map[string]record, live int64) {
	records = make(map[string]record, len(s.records)+len(changes))
	keep := func(r record) {
		if len(r.value) == 0 {
			delete(records, r.name)
			return
		}
		records[r.name] = record{r.name, 1, r.value}
	}
	for _, r := range s.records {
		keep(r)
	}
	for _, r := range changes {
		keep(r)
	}
	for _, r := range records {
		live += r.size()
	}
	return records, live
}

// fill writes a new generation's content, then its mark, and syncs the file and its name.
func (s *Store) fill(file File, records map[string]record) (size int64, marked bool, err error) {
	s.getsOn()
	content, err := writeContent(file, s.code, records, s.getsOn)
	if err != nil {
		return 0, false, errors.Wrap(err, "store: write")
	}
	end := &contentWriter{to: file}
	if err := s.code.encode(end, map[string]string{wholeMark: content.text()}); err != nil {
		return 0, true, errors.Wrap(err, "store: write")
	}
	if err := file.Sync(); err != nil {
		return 0, true, errors.Wrap(err, "store: sync")
	}
	if err := s.disk.Sync(); err != nil {
		return 0, true, errors.Wrap(err, "store: sync of the folder")
	}
	return content.size + end.size, true, nil
}

// removeOld removes the generations before the one at hand. One that can't be removed is only read past at
// the next start.
func (s *Store) removeOld() {
	all, _ := generations(s.disk)
	for _, g := range all {
		if g < s.generation {
			_ = s.disk.Remove(fileName(g))
		}
	}
}

// Close ends the use of the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.code.close()
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
