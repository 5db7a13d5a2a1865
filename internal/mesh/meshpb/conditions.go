package meshpb

// The conditions of a host in its record. Their numbers are sent over the wire: only add new ones at the end.
const (
	Unknown  uint32 = iota
	Serving         // accepts requests
	Draining        // accepts no new requests, because the host or its proxy is shutting down
	Gone            // has signed off, or its source was removed
)
