// Package meshpb holds the messages that the processes of the mesh exchange, generated from mesh.proto, and a few rules about
// them: how a response refers to its request, which messages go first, and which of two records is the newer one. The main type
// is Message, the content of one frame; package transport sends and receives frames.
package meshpb

// Answer sets the id and the process instance of the request in its response, and returns the response. The requester accepts
// a response only if both match its request.
func Answer(request, response *Message) *Message {
	response.Id = request.Id
	response.Life = request.Life
	return response
}

// IsAnswer reports whether a message is a response. The id and the process instance in a response are those of the requester.
func IsAnswer(m *Message) bool {
	switch {
	case m.Forwarded != nil, m.Recorded != nil, m.Claimed != nil, m.Promise != nil, m.Accepted != nil:
		return true
	case m.Update != nil, m.SyncPage != nil, m.Homed != nil, m.Config != nil, m.View != nil, m.Pong != nil, m.Lease != nil:
		return true
	}
	return false
}

// IsHeartbeat reports whether a message is a heartbeat. Failure detection depends on its time of arrival, so it is processed
// before all other queued messages.
func IsHeartbeat(m *Message) bool { return m.Digest != nil }
