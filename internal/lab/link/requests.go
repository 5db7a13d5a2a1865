package link

import (
	"bufio"
	"io"
	"net/http"
)

// ServeRequests reads one HTTP request after another, discards its body and passes it to handle. It returns when handle
// returns false, which also closes the connection, or when no further request can be read. While handle runs, the
// connection is watcherDone: clientGone is closed when the proxy has disconnected, so that queued work can be abandoned.
func (c *Conn) ServeRequests(handle func(r *http.Request, clientGone chan struct{}) (keepOpen bool)) {
	br := bufio.NewReaderSize(c, chunkSize)
	for keepOpen := true; keepOpen; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		clientGone, watcherDone := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watcherDone)
			if _, err := br.Peek(1); err != nil {
				close(clientGone)
			}
		}()
		if keepOpen = handle(r, clientGone); !keepOpen {
			c.Close()
		}
		<-watcherDone
	}
}
