// Package wire provides the HTTP/1.1 connection handling that the proxy and the sidecar share. PeekHead, CheckHead and
// CheckControlChars read and validate a message head (the start line and the headers), LimitedReader limits the bytes that one
// message may read, Pool reuses buffers, and DirectConn makes socket calls cheaper. The package contains nothing that is
// specific to the platform's protocols.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// The texts of these errors are sent to peers, so they must not change.
var (
	errFolded  = errors.New("folded header line")
	errName    = errors.New("header name that is none")
	errControl = errors.New("control character in the head")
	errFraming = errors.New("Content-Length beside Transfer-Encoding")
)

// ErrTooLarge is returned for a message that exceeds its size limit.
var ErrTooLarge = errors.New("message is too large")

// PeekHead waits until the complete message head has been received and returns it. A head longer than maxBytes gives
// ErrTooLarge. The head stays in br, so that net/http can parse it.
func PeekHead(br *bufio.Reader, maxBytes int) ([]byte, error) {
	for seen := 0; ; {
		if _, err := br.Peek(seen + 1); err != nil {
			return nil, err
		}
		b, _ := br.Peek(br.Buffered())
		switch n := headLength(b); {
		case n > maxBytes, n == 0 && len(b) >= maxBytes:
			return nil, ErrTooLarge
		case n > 0:
			return b[:n], nil
		}
		seen = len(b)
	}
}

// headLength returns the length of the head at the start of b, including its empty line, or 0 if b does not hold all of it.
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

// CheckHead rejects heads that net/http would accept silently although another parser may read them differently: net/http
// drops one of two lengths, or passes on a name that the next parser takes for another name. Such ambiguity allows request
// smuggling, where one message hides a second one. Each header in single may occur only once, because net/http would use the
// first of several and the next parser might use another. The first two elements of single must be the two headers that frame
// a body, Content-Length and Transfer-Encoding in either order.
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
		i := slices.IndexFunc(single, func(header string) bool { return strings.EqualFold(text, header) })
		if i < 0 {
			continue
		}
		if seen[i] {
			return fmt.Errorf("%s twice", single[i])
		}
		seen[i] = true
	}
	if seen[0] && seen[1] { // Content-Length and Transfer-Encoding
		return errFraming
	}
	return nil
}

// AnnouncesClose reports whether the head contains "Connection: close", which means that the response ends with the connection.
// A response with neither a length nor this header most likely has a damaged head. http.Response.Close cannot tell the two
// cases apart: net/http also sets Close when the length is missing, and it removes the header.
func AnnouncesClose(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}

// CheckControlChars rejects control characters in a client's head, because most headers are forwarded to hosts unchanged.
func CheckControlChars(head []byte) error {
	for i, b := range head {
		lineEnd := b == '\n' || b == '\r' && i+1 < len(head) && head[i+1] == '\n'
		if (b < ' ' && b != '\t' || b == 0x7f) && !lineEnd {
			return errControl
		}
	}
	return nil
}
