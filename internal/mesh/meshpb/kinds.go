package meshpb

// Kind returns the kind of a message, for logs and metrics.
func Kind(m *Message) string {
	switch {
	case m.Claim != nil:
		return "claim"
	case m.Settle != nil:
		return "settle"
	case m.Prepare != nil:
		return "prepare"
	case m.Promise != nil:
		return "promise"
	case m.Accept != nil:
		return "accept"
	case m.Accepted != nil:
		return "accepted"
	case m.LeaseRequest != nil:
		return "lease"
	case m.Pull != nil:
		return "pull"
	case m.Digest != nil:
		return "digest"
	case m.SyncRequest != nil:
		return "sync_request"
	case m.SyncPage != nil:
		return "sync_page"
	case m.HomedRequest != nil, m.Homed != nil:
		return "homed"
	case m.View != nil, m.ViewRequest != nil, m.Join != nil:
		return "membership"
	case m.Config != nil, m.ConfigRequest != nil:
		return "config"
	}
	return "other"
}
