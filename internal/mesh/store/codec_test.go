package store

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"github.com/tidwall/buntdb"
)

// savedByBuntdb returns the bytes that buntdb saves for some pairs.
func savedByBuntdb(t *testing.T, pairs map[string]string) []byte {
	t.Helper()
	db, err := buntdb.Open(":memory:")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.Update(func(tx *buntdb.Tx) error {
		for key, text := range pairs {
			if _, _, err := tx.Set(key, text, nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var saved bytes.Buffer
	if err := db.Save(&saved); err != nil {
		t.Fatal(err)
	}
	return saved.Bytes()
}

// The encoder must write exactly what buntdb itself would save, whatever bytes the values hold, and decode must
// read the same pairs back.
func TestEncodesAsBuntdbDoes(t *testing.T) {
	pairs := map[string]string{"": "", "empty": "", "lines/0": "a\r\n$3\r\nset\r\n",
		"zero/1": "\x00\xff\x00", "large": string(make([]byte, 3*bufferBytes))}
	for i := range 300 {
		pairs[fmt.Sprintf("k.%x/%d", i*7919, i%2)] = fmt.Sprint("value ", i)
	}
	code, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	defer code.close()
	var written bytes.Buffer
	if err := code.encode(&written, pairs); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), savedByBuntdb(t, pairs)) {
		t.Error("what is written differs from what buntdb saves")
	}
	read := map[string]string{}
	if err := code.decode(&written, func(key, text string) { read[key] = text }); err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(read, pairs) {
		t.Errorf("read back %d pairs of %d", len(read), len(pairs))
	}
}
