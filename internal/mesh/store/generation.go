package store

import (
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	fileFormat  = "store-%08d.bunt"
	filePattern = "store-%d.bunt"
	chunkBytes  = 128 << 10 // bytes of a new generation that are encoded at once
)

// fileName returns the name of a generation's file.
func fileName(generation int) string { return fmt.Sprintf(fileFormat, generation) }

// generations returns the numbers of all generations on a disk in ascending order, complete or not.
func generations(disk Disk) (all []int, err error) {
	names, err := disk.Names()
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	for _, name := range names {
		var g int
		if n, _ := fmt.Sscanf(name, filePattern, &g); n == 1 && name == fileName(g) {
			all = append(all, g)
		}
	}
	slices.Sort(all)
	return all, nil
}

// readGeneration reads a generation; complete reports whether all of its initial content had been written.
// Reading stops at the first invalid bytes. They belong to a batch whose sync never returned, as each batch is
// synced before the next one begins.
func readGeneration(disk Disk, code *codec, g int) (records map[string]record, complete bool, err error) {
	file, err := disk.Open(fileName(g))
	if err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	defer file.Close()
	source := &errorReader{from: file}
	records = map[string]record{}
	var marked string
	err = code.decode(source, func(key, text string) {
		if key == completionMark {
			marked = text
		} else if r, ok := parseRecord(key, text); ok && r.seq > records[r.name].seq {
			records[r.name] = r
		}
	})
	if err = errors.CombineErrors(source.err, err); err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	if complete, err = checkMark(disk, g, marked); err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	return records, complete, nil
}

// errorReader remembers a read error, which decode would otherwise take for the end of the file.
type errorReader struct {
	from io.Reader
	err  error
}

func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// checkMark reports whether everything before a generation's completion mark is as it was written. A power loss
// may keep the mark and lose some of the bytes written before it.
func checkMark(disk Disk, g int, text string) (complete bool, err error) {
	if text == legacyMark {
		return true, nil
	}
	expected, err := parseMark(text)
	if err != nil {
		return false, nil
	}
	file, err := disk.Open(fileName(g))
	if err != nil {
		return false, err
	}
	defer file.Close()
	sum := crc32.NewIEEE()
	size, err := io.Copy(sum, io.LimitReader(file, expected.size))
	return mark{size, sum.Sum32()} == expected, err
}

// contentWriter writes to a file and keeps the size and checksum of the bytes written.
type contentWriter struct {
	to io.Writer
	mark
}

func (w *contentWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.size += int64(n)
	w.checksum = crc32.Update(w.checksum, crc32.IEEETable, p[:n])
	return n, err
}

// writeContent writes all records but not the completion mark. Until the mark is written, the file counts as
// incomplete. progress is called after each chunk.
func writeContent(to io.Writer, code *codec, records map[string]record, progress func()) (mark, error) {
	w := &contentWriter{to: to}
	pairs, bytes := map[string]string{}, int64(0)
	for _, name := range slices.Sorted(maps.Keys(records)) {
		r := records[name]
		pairs[r.slot()] = r.text()
		if bytes += r.size(); bytes < chunkBytes {
			continue
		}
		if err := code.encode(w, pairs); err != nil {
			return mark{}, err
		}
		progress()
		pairs, bytes = map[string]string{}, 0
	}
	err := code.encode(w, pairs)
	return w.mark, err
}
