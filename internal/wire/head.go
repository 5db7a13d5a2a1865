// Package wire holds what both data planes need to read HTTP/1.1 messages off connections: whole heads, what a head may not
// hold, and how much one message may read. It knows no protocol of the platform's.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

var (
	errFolded  = errors.New("folded header line")
	errName    = errors.New("header name that is none")
	errControl = errors.New("control character in the head")
	errFraming = errors.New("Content-Length beside Transfer-Encoding")
)

// ErrTooLarge tells of a message beyond its bound.
var ErrTooLarge = errors.New("message is too large")

// PeekHead waits until a message's whole head has come, of at most so many bytes. It stays in br, for the library to read.
func PeekHead(br *bufio.Reader, most int) ([]byte, error) {
	for seen := 0; ; {
		if _, err := br.Peek(seen + 1); err != nil {
			return nil, err
		}
		b, _ := br.Peek(br.Buffered())
		switch n := headLength(b); {
		case n > most, n == 0 && len(b) >= most:
			return nil, ErrTooLarge
		case n > 0:
			return b[:n], nil
		}
		seen = len(b)
	}
}

// headLength is where the head that b begins with ends, after its empty line; 0: not in b.
func headLength(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		line := b[at : at+n]
		at += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// CheckHead refuses what the library would settle without a word, by dropping one of two lengths or passing on a name
// that the next reader takes for another: a message may hide a second one behind it. The headers of single may stand there once
// only: the library would take the first of several, and the next reader of the same bytes might take another. The list begins
// with the two ways to tell a length.
func CheckHead(head []byte, single []string) error {
	seen := make([]bool, len(single))
	first := true
	for line := range bytes.Lines(head) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case first, len(line) == 0:
			first = false
			continue
		case line[0] == ' ' || line[0] == '\t':
			return errFolded
		case !found || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return errName
		}
		text := string(name)
		i := slices.IndexFunc(single, func(once string) bool { return strings.EqualFold(text, once) })
		if i < 0 {
			continue
		}
		if seen[i] {
			return fmt.Errorf("%s twice", single[i])
		}
		seen[i] = true
	}
	if seen[0] && seen[1] { // the two ways to tell a length
		return errFraming
	}
	return nil
}

// AnnouncesClose says whether a host tells that its answer ends with the connection. Where it does not, an answer without a
// length is rather one whose head was spoilt. (The library's Close is also set for want of a length, and it drops the
// header.)
func AnnouncesClose(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}

// CheckText refuses control characters in a client's head: its other headers go on to hosts as they are.
func CheckText(head []byte) error {
	for i, b := range head {
		lineEnd := b == '\n' || b == '\r' && i+1 < len(head) && head[i+1] == '\n'
		if (b < ' ' && b != '\t' || b == 0x7f) && !lineEnd {
			return errControl
		}
	}
	return nil
}
