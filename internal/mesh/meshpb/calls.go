package meshpb

// Answer addresses an answer to the question that it belongs to: the asker counts it only with the id and the
// life that its question carried. It returns the answer.
func Answer(question, answer *Message) *Message {
	answer.Id = question.Id
	answer.Life = question.Life
	return answer
}

// IsAnswer reports whether a message answers another process's question, so that its id and life are that
// process's.
func IsAnswer(m *Message) bool {
	switch {
	case m.Forwarded != nil, m.Claimed != nil, m.Promise != nil, m.Accepted != nil:
		return true
	case m.Update != nil, m.SyncPage != nil, m.Homed != nil, m.Config != nil, m.View != nil, m.Pong != nil, m.Lease != nil:
		return true
	}
	return false
}

// IsHeartbeat says that failure detection depends on when a message comes: it goes ahead of others wherever messages wait.
func IsHeartbeat(m *Message) bool { return m.Digest != nil }
