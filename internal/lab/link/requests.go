package link

import (
	"bufio"
	"io"
	"net/http"
)

// Requests reads one request after another, throws its body away and hands it to handle, until that says that the
// connection does not go on or nothing more comes. While a request is worked on, the connection is watched: gone closes when
// its sender has left, for what need not begin any more.
func (c *Conn) Requests(handle func(r *http.Request, gone chan struct{}) (goesOn bool)) {
	br := bufio.NewReaderSize(c, chunkSize)
	for goesOn := true; goesOn; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		gone, watched := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := br.Peek(1); err != nil {
				close(gone)
			}
		}()
		if goesOn = handle(r, gone); !goesOn {
			c.Close()
		}
		<-watched
	}
}
