package meshpb

// The conditions of a host, as records tell them. They go over the wire: only add at the end.
const (
	Unknown   uint32 = iota
	AtDock           // takes requests
	Unloading        // leaves, or the proxy beside it does
	Gone
)
