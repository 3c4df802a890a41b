// Schema of the operator API: sheets, bookings, zones, cuts and members.

package design

import . "goa.design/goa/v3/dsl"

// Taken is the result of a committed change, with the number of nodes that have the change in force.
var Taken = Type("Taken", func() {
	Attribute("stamp", String, "Stamp of the change")
	Attribute("in_force", Int, "Nodes that have it in force")
	Attribute("laggards", ArrayOf(String), "Live nodes that do not yet")
	Required("stamp", "in_force", "laggards")
})

// SheetNow is the sheet in force on the node that responds.
var SheetNow = Type("SheetNow", func() {
	Attribute("stamp", String)
	Attribute("sheet", Any)
	Required("stamp", "sheet")
})

// PastSheet is a sheet that was in force before.
var PastSheet = Type("PastSheet", func() {
	Attribute("stamp", String)
	Attribute("by", String)
	Attribute("sheet", Any)
	Required("stamp", "by", "sheet")
})

// Status is the state of a node or core, as the responding node knows it.
var Status = Type("Status", func() {
	Attribute("name", String)
	Attribute("role", String)
	Attribute("zone", String)
	Attribute("addr", String)
	Attribute("live", Boolean)
	Attribute("draining", Boolean)
	Attribute("formed", Boolean)
	Attribute("sick", String)
	Attribute("in_force", String, "Stamp of the configuration in force there")
	Required("name", "role", "zone", "addr", "live", "in_force")
})

// ServerStatus is a backend with its health state, merged from the reports of all nodes.
var ServerStatus = Type("ServerStatus", func() {
	Attribute("id", String)
	Attribute("addr", String)
	Attribute("zone", String)
	Attribute("index", String)
	Attribute("cut", String)
	Attribute("shard", Int)
	Attribute("verdict", String)
	Attribute("warm", Int, "Hundredths of full warmth")
	Required("id", "addr", "zone", "index", "cut", "shard", "verdict", "warm")
})

// RowEdit sets or removes one row of a sheet.
var RowEdit = Type("RowEdit", func() {
	Attribute("op", String, func() { Enum("set", "remove") })
	Attribute("table", String, func() { Enum("rows", "services", "bookings") })
	Attribute("row", Any, "The row; for a removal its key fields are enough")
	Required("op", "table", "row")
})

func change() {
	Attribute("token", String, "Operator token")
	Attribute("edit_id", String, "Retry-safe id of this edit", func() { MaxLength(128) })
	Attribute("based_on", String, "Stamp that the edit is based on")
	Attribute("by", String, "Who", func() { MaxLength(128) })
}

func changeHeaders() {
	Header("token:Authorization")
	Header("edit_id:Edit-Id")
	Header("based_on:If-Match")
	Header("by:Edit-By")
}

var _ = Service("operator", func() {
	Description("Sheets, bookings, zones, cuts, members and explanations")
	faults()
	Method("sheet", func() {
		Payload(func() { Attribute("token", String) })
		Result(SheetNow)
		HTTP(func() {
			GET("/v1/sheet")
			Header("token:Authorization")
		})
	})
	Method("put_sheet", func() {
		Payload(func() {
			change()
			Attribute("sheet", Any)
			Required("sheet")
		})
		Result(Taken)
		HTTP(func() {
			PUT("/v1/sheet")
			changeHeaders()
			Body("sheet")
		})
	})
	Method("check_sheet", func() {
		Payload(func() {
			Attribute("token", String)
			Attribute("sheet", Any)
			Required("sheet")
		})
		Result(ArrayOf(Finding))
		HTTP(func() {
			POST("/v1/sheet/check")
			Header("token:Authorization")
			Body("sheet")
		})
	})
	Method("history", func() {
		Payload(func() { Attribute("token", String) })
		Result(ArrayOf(PastSheet))
		HTTP(func() {
			GET("/v1/sheet/history")
			Header("token:Authorization")
		})
	})
	Method("return_sheet", func() {
		Payload(func() {
			change()
			Attribute("stamp", String, "Stamp of the earlier sheet")
			Required("stamp")
		})
		Result(Taken)
		HTTP(func() {
			POST("/v1/sheet/return/{stamp}")
			changeHeaders()
		})
	})
	Method("edit_sheet", func() {
		Payload(func() {
			change()
			Attribute("edits", ArrayOf(RowEdit), func() { MinLength(1) })
			Required("edits")
		})
		Result(Taken)
		HTTP(func() {
			PATCH("/v1/sheet")
			changeHeaders()
		})
	})
	Method("zone", func() {
		Payload(func() {
			change()
			Attribute("zone", String)
			Attribute("action", String, func() { Enum("empty", "refill") })
			Required("zone", "action")
		})
		Result(Taken)
		HTTP(func() {
			POST("/v1/zones/{zone}/{action}")
			changeHeaders()
		})
	})
	Method("cut", func() {
		Payload(func() {
			change()
			Attribute("index", String)
			Attribute("cut", String, func() {
				MinLength(1)
				MaxLength(64)
			})
			Attribute("shards", Int, func() {
				Minimum(1)
				Maximum(256)
			})
			Required("index", "cut", "shards")
		})
		Result(Taken)
		HTTP(func() {
			POST("/v1/indexes/{index}/cut")
			changeHeaders()
		})
	})
	Method("rebuild", func() {
		Payload(func() {
			Attribute("token", String)
			Attribute("by", String, func() { MaxLength(128) })
			Attribute("part", Int, func() {
				Minimum(0)
				Maximum(4)
			})
			Required("part")
		})
		Result(Taken)
		HTTP(func() {
			POST("/v1/parts/{part}/rebuild")
			Header("token:Authorization")
			Header("by:Edit-By")
		})
	})
	Method("members", func() {
		Payload(func() { Attribute("token", String) })
		Result(ArrayOf(Status))
		HTTP(func() {
			GET("/v1/members")
			Header("token:Authorization")
		})
	})
	Method("replicas", func() {
		Description("The state of each partition's replicas, asked of every live core")
		Payload(func() { Attribute("token", String) })
		Result(ArrayOf(ReplicaStatus))
		HTTP(func() {
			GET("/v1/replicas")
			Header("token:Authorization")
		})
	})
	Method("servers", func() {
		Payload(func() { Attribute("token", String) })
		Result(ArrayOf(ServerStatus))
		HTTP(func() {
			GET("/v1/servers")
			Header("token:Authorization")
		})
	})
	Method("explain", func() {
		Payload(func() {
			Attribute("token", String)
			Attribute("id", String)
			Attribute("here", Boolean, "Only the node that is asked looks")
			Required("id")
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/explain/{id}")
			Param("here")
			Header("token:Authorization")
		})
	})
})
