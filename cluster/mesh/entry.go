package mesh

// Types of the entries that the mesh carries. These texts are sent on the wire.
const (
	// EntryMember is a process's description of itself. Its id is the process's fingerprint.
	EntryMember = "member"
	// EntryLinks is the list of a process's mesh connections. Its id is the process's fingerprint.
	EntryLinks = "links"
	// EntryPartition is a committed version of a partition's state. It belongs to no origin.
	EntryPartition = "part"
	// EntryBackendList is the platform's list of backends. It is announced when it differs from the list
	// that was announced last, and repeated at an interval.
	EntryBackendList = "listing"
	// EntryPolled reports that the platform's list was polled and is unchanged or could not be read.
	EntryPolled = "polled"
	// EntryLoadReport is a node's own request rates. Its id is the node's fingerprint.
	EntryLoadReport = "usage"
	// EntryHealthReport is one node's view of a backend. Its id is the backend's id.
	EntryHealthReport = "opinion"
)
