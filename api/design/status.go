// Schema of the status of the control state's replicas, which is shown to operators.

package design

import . "goa.design/goa/v3/dsl"

// ReplicaStatus is a core's replica of one partition of the control state.
var ReplicaStatus = Type("ReplicaStatus", func() {
	Attribute("core", String, "Name of the core")
	Attribute("zone", String)
	Attribute("part", Int, "Partition: 0 is the configuration, the others are those of the indexes")
	Attribute("state", String, "leader, new_leader, candidate, follower, standby, damaged, or silent where the core did not answer in time")
	Attribute("contact", Boolean, "Whether it is in contact with a majority")
	Attribute("term", UInt64, "Newest term that it voted in or led")
	Attribute("version", String, "Newest version that it knows to be committed")
	Attribute("held", String, "Newest version on its disk")
	Attribute("behind", UInt64, "By how many versions it is behind the newest that any core knows to be committed")
	Attribute("voters", Int, "Replicas with a vote on the newest version that it holds")
	Attribute("leader", String, "Mesh address of the leader that it follows")
	Attribute("change", String, "Reason of the change of members that its leader has under way")
	Attribute("leaving", Boolean, "Whether it is being moved out, since its process is to end")
	Required("core", "zone", "part", "state", "contact", "term", "version", "held", "behind", "voters", "leader", "change", "leaving")
})
