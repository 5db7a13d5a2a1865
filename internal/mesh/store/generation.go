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
	chunkBytes  = 128 << 10 // of a new generation that are put into the form of the log at once
)

func fileName(generation int) string { return fmt.Sprintf(fileFormat, generation) }

// generations lists the generations on a disk, whole or not, oldest first.
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

// readGeneration reads a generation; whole says whether it had been written in full before it was used.
// Bytes that make no sense end it: they belong to a batch whose sync never returned, as every one before it
// was synced before the next began.
func readGeneration(disk Disk, code *codec, g int) (records map[string]record, whole bool, err error) {
	file, err := disk.Open(fileName(g))
	if err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	defer file.Close()
	source := &errorReader{from: file}
	records = map[string]record{}
	var marked string
	err = code.decode(source, func(key, text string) {
		if key == wholeMark {
			marked = text
		} else if r, ok := parseRecord(key, text); ok && r.seq > records[r.name].seq {
			records[r.name] = r
		}
	})
	if err = errors.CombineErrors(source.err, err); err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	if whole, err = checkMark(disk, g, marked); err != nil {
		return nil, false, errors.Wrap(err, "store")
	}
	return records, whole, nil
}

// errorReader remembers an error of reading, which would pass for the end of the file otherwise.
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

// checkMark says whether all that stands before a generation's mark is there as it was written. A loss of
// power may keep the mark and lose some of what was written before it.
func checkMark(disk Disk, g int, text string) (whole bool, err error) {
	if text == oldMark {
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

// contentWriter writes to a file and keeps count and checksum of what was written.
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

// writeContent writes all records, without the mark that says so. As long as the mark isn't there the file
// counts for nothing. After each chunk it says that it gets on.
func writeContent(to io.Writer, code *codec, records map[string]record, getsOn func()) (mark, error) {
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
		getsOn()
		pairs, bytes = map[string]string{}, 0
	}
	err := code.encode(w, pairs)
	return w.mark, err
}
