// Package store keeps named values of a control process durably on its disk. A Store reads and writes the files
// of one directory. A Writer drives a Store from a goroutine of its own: it groups queued values into batches,
// retries failed batches, and releases a message only once the values that it depends on are synced.
//
// A generation is one file in the format of buntdb's append-only log. Each batch takes one write and one sync,
// and is durable only after the sync. Open reads the newest complete generation. The first write after Open
// starts the next generation, which holds the values that were read and the new ones, so that nothing is ever
// appended after a torn end. A failed write leaves the file torn or partly synced, so the write after it starts
// a new generation as well. The old generation is removed once the new file and its directory entry are synced.
// Files are never renamed.
//
// Each name has two slots, which are written alternately: a torn write can only damage the slot whose value is
// obsolete. Every value carries a checksum, which exposes a slot whose write was torn in the middle. Removing a
// name writes an empty value, which the next generation leaves out.
package store

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	minCompactionBytes   = 24 << 20 // bytes that a generation reaches before it may be compacted
	compactionRatio      = 3        // a generation is compacted when its size exceeds this multiple of its live bytes
	compactionRetryBytes = 8 << 20  // bytes until the next attempt after a failed compaction, as on a full disk
)

// Put is a value to be stored under a name. An empty value removes the name. The store owns Value from then on.
type Put struct {
	Name  string
	Value []byte
}

// Store is the store in one directory. Write must not be called concurrently.
type Store struct {
	mu         sync.Mutex
	disk       Disk
	code       *codec
	generation int               // the highest generation number in use
	file       File              // nil: the next write starts a generation
	size       int64             // bytes of the file that are synced
	records    map[string]record // stored values, and names removed within this generation
	live       int64             // bytes of the stored values
	compactAt  int64             // file size at which the next generation is due
	progress   func()            // called after each chunk of a new generation; may be nil
}

// OnProgress sets a function that is called after each chunk of a new generation is written. It must be called
// before the first Write.
func (s *Store) OnProgress(call func()) { s.progress = call }

// reportProgress calls the function set by OnProgress, if any.
func (s *Store) reportProgress() {
	if s.progress != nil {
		s.progress()
	}
}

// Open reads the store in a directory; found reports whether one exists. Open writes nothing: a disk that
// accepts no writes is an error of the first Write. The values may not be durable until the first Write has
// returned without an error, because the last batch's sync may have failed in the previous process.
func Open(dir string) (s *Store, values map[string][]byte, found bool, err error) {
	return OpenDisk(&directory{path: dir})
}

// OpenDisk is like Open, for any Disk.
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

// openWith is OpenDisk with a given codec, which the Store owns from then on if there is no error.
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

// read loads the newest complete generation. A generation that cannot be read is an error even if an older one
// can be read: it may hold acknowledged values that the older one lacks.
func (s *Store) read() (found bool, err error) {
	all, err := generations(s.disk)
	if err != nil {
		return false, err
	}
	for i := len(all) - 1; i >= 0; i-- {
		s.generation = max(s.generation, all[i])
		records, complete, err := readGeneration(s.disk, s.code, all[i])
		if err != nil {
			return false, err
		}
		if complete {
			s.records = records
			return true, nil
		}
	}
	return false, nil
}

// Write stores a batch. If the batch has several values for one name, the last one counts. If Write returns
// nil, the batch is synced. If it returns an error, no value of the batch may be treated as stored and the
// store is unchanged; a later Write may succeed. An empty batch checks that the disk accepts writes if none has
// succeeded since Open or since the last error.
func (s *Store) Write(batch []Put) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		_, err := s.beginGeneration(s.changes(batch))
		return err
	}
	if len(batch) == 0 {
		return nil
	}
	if err := s.append(s.changes(batch)); err != nil {
		s.abandon()
		return err
	}
	if s.size >= s.compactAt {
		s.compact()
	}
	return nil
}

// changes returns the newest value of each name in a batch, with the sequence number that selects the slot
// whose value is obsolete.
func (s *Store) changes(batch []Put) map[string]record {
	changes := make(map[string]record, len(batch))
	for _, p := range batch {
		changes[p.Name] = record{p.Name, s.records[p.Name].seq + 1, p.Value}
	}
	return changes
}

// append appends changes to the file and syncs it.
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

// liveBytes returns the bytes that a record counts for, 0 for a removed name.
func liveBytes(r record) int64 {
	if len(r.value) == 0 {
		return 0
	}
	return r.size()
}

// abandon closes the current file, which stays as it was at its last sync until the next generation is
// complete. The bytes that a failed write left are truncated, as the next generation needs the room.
func (s *Store) abandon() {
	_ = s.file.Truncate(s.size)
	_ = s.file.Close()
	s.file = nil
}

// compact starts a new generation to drop obsolete values. Without room for a new generation the current one
// stays in use.
func (s *Store) compact() {
	marked, err := s.beginGeneration(nil)
	switch {
	case err == nil:
	case marked: // after a power loss either generation may be read, so only a newer one may be written to
		s.abandon()
	default:
		s.compactAt = s.size + compactionRetryBytes
	}
}

// beginGeneration writes the next generation with the stored values and the changes, and removes the older
// generations once the new one is durable. After an error the store is unchanged. The result marked reports
// that the new file may nevertheless count as complete; the previous file must not be written to then.
func (s *Store) beginGeneration(changes map[string]record) (marked bool, err error) {
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
		_ = s.disk.Remove(name) // the file takes up room and holds nothing that is needed
		return marked, err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.size, s.records, s.live = file, size, records, live
	s.compactAt = max(minCompactionBytes, compactionRatio*live)
	s.removeOld()
	return true, nil
}

// merge returns the records of a new generation and their size.
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

// fill writes the content of a new generation, then its completion mark, and syncs the file and the directory.
func (s *Store) fill(file File, records map[string]record) (size int64, marked bool, err error) {
	s.reportProgress()
	content, err := writeContent(file, s.code, records, s.reportProgress)
	if err != nil {
		return 0, false, errors.Wrap(err, "store: write")
	}
	end := &contentWriter{to: file}
	if err := s.code.encode(end, map[string]string{completionMark: content.text()}); err != nil {
		return 0, true, errors.Wrap(err, "store: write")
	}
	if err := file.Sync(); err != nil {
		return 0, true, errors.Wrap(err, "store: sync")
	}
	if err := s.disk.Sync(); err != nil {
		return 0, true, errors.Wrap(err, "store: sync directory")
	}
	return content.size + end.size, true, nil
}

// removeOld removes the generations before the current one. A file that cannot be removed is ignored by the
// next Open.
func (s *Store) removeOld() {
	all, _ := generations(s.disk)
	for _, g := range all {
		if g < s.generation {
			_ = s.disk.Remove(fileName(g))
		}
	}
}

// Close closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.code.close()
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
