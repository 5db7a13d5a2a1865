package control

// Readings that are answered page by page (catchup.go, homed.go) repeat a request that is not answered. A member that is only
// slow must not be given more work than it can do: the delay grows with each repetition, and the answer to an earlier one counts,
// so that no work of a slow member is lost.

const (
	pageRetryAfter          = 0.4 // seconds without an answer after which a request is sent again; doubles with each retry
	maxPageBackoffDoublings = 1   // number of times that the delay doubles
	pageTimeout             = 1.0 // seconds without an answer after which another member is asked as well
)

// pageRequest is the request for a page that a member has not answered yet.
type pageRequest struct {
	id          uint64 // retries keep it; 0: none
	open        bool   // it was sent and need not be sent again yet
	requestedAt float64
	retries     int // how often it was sent again
}

// dueAt returns when an open request is sent again.
func (r *pageRequest) dueAt() float64 {
	return r.requestedAt + pageRetryAfter*float64(uint(1)<<min(r.retries, maxPageBackoffDoublings))
}

// answered closes the request.
func (r *pageRequest) answered() { r.open, r.id = false, 0 }

// notePageRequest records that a request is sent now, and returns its id: a new one, or that of the request that is sent again.
func (s *Server) notePageRequest(now float64, r *pageRequest) uint64 {
	if r.id == 0 {
		s.lastID++
		r.id, r.retries = s.lastID, 0
	} else {
		r.retries++
	}
	r.requestedAt, r.open = now, true
	return r.id
}
