package mesh

// Types of the entries that the mesh carries. Their text is on the wire.
const (
	// EntryMember is a process's description of itself, by its fingerprint.
	EntryMember = "member"
	// EntryLinks is the list of a process's mesh connections, by its fingerprint.
	EntryLinks = "links"
	// EntryPartition is a committed version of a partition's state. It belongs to no origin.
	EntryPartition = "part"
	// EntryBackendList is a reading of the platform's list of backends that differs from the last one.
	EntryBackendList = "listing"
	// EntryPolled says that the list was read, or could not be read, without anything new.
	EntryPolled = "polled"
	// EntryLoadReport is a node's own rate of requests, by its fingerprint.
	EntryLoadReport = "usage"
	// EntryHealthReport is one node's view of a backend, by the backend's id.
	EntryHealthReport = "opinion"
)
