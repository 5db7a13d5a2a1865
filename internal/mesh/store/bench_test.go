package store

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	routes       = 400
	liveKeys     = 20_000
	keysInBatch  = 200
	receiptBytes = 2 << 10
	claimBytes   = 100
)

// routesText returns a configuration with 400 routes.
func routesText(edition int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"edition":"r%d","itineraries":[`, edition)
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"route-%d","depot":"host-%d.example","lanePrefix":"/route/%d/",`, i, i%20, i)
		fmt.Fprintf(&text, `"routeKind":"safe","tries":2,"carrier":"service-%d"},`, i%40)
	}
	text.WriteString(`],"carriers":[]}`)
	return []byte(text.String())
}

// BenchmarkStart reports the bytes on disk after many changes of the configuration, or with many keys, and how
// long a start takes with them: to read them, and to write the next generation. Run it alone on a disk, with
// -benchtime 5x.
func BenchmarkStart(b *testing.B) {
	for _, changes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			benchmarkStart(b, func(s *Store) error { return changeRoutes(s, changes) })
		})
	}
	for _, size := range []int{claimBytes, receiptBytes} {
		b.Run(fmt.Sprintf("keys=%d/bytes=%d", liveKeys, size), func(b *testing.B) {
			benchmarkStart(b, func(s *Store) error { return fillKeys(s, size) })
		})
	}
}

// changeRoutes writes configurations as the control plane does: first the text, then the note that it is in
// force.
func changeRoutes(s *Store, changes int) error {
	for edition := range changes {
		if err := s.Write([]Put{{"configuration", routesText(edition)}}); err != nil {
			return err
		}
		if err := s.Write([]Put{{"settled", fmt.Append(nil, edition)}}); err != nil {
			return err
		}
	}
	return nil
}

func fillKeys(s *Store, size int) error {
	for first := 0; first < liveKeys; first += keysInBatch {
		var batch []Put
		for i := range keysInBatch {
			batch = append(batch, Put{fmt.Sprintf("k.key-%032d", first+i), make([]byte, size)})
		}
		if err := s.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

func benchmarkStart(b *testing.B, fill func(*Store) error) {
	dir := b.TempDir()
	s, _, _, err := Open(dir)
	if err == nil {
		err = fill(s)
	}
	if err != nil {
		b.Fatal(err)
	}
	s.Close()
	before := bytesIn(b, dir)
	var read, begin time.Duration
	var after int64
	starts := 0
	for b.Loop() {
		b.StopTimer()
		other := b.TempDir()
		if err := os.CopyFS(other, os.DirFS(dir)); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		began := time.Now()
		s, _, _, err := Open(other)
		if err != nil {
			b.Fatal(err)
		}
		opened := time.Now()
		if err := s.Write(nil); err != nil {
			b.Fatal(err)
		}
		read, begin = read+opened.Sub(began), begin+time.Since(opened)
		starts++
		s.Close()
		after = bytesIn(b, other)
	}
	b.ReportMetric(float64(before), "bytes-before")
	b.ReportMetric(float64(after), "bytes-after")
	b.ReportMetric(float64(read.Milliseconds())/float64(starts), "ms-read")
	b.ReportMetric(float64(begin.Milliseconds())/float64(starts), "ms-generation")
}

func bytesIn(b *testing.B, dir string) (sum int64) {
	b.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			b.Fatal(err)
		}
		sum += info.Size()
	}
	return sum
}
