// Schema of the caller API: searches, reads, corrections and part fetches.

package design

import . "goa.design/goa/v3/dsl"

// Record is one record of a result.
var Record = Type("Record", func() {
	Attribute("id", String)
	Attribute("score", Int64)
	Attribute("body", String)
	Required("id", "score")
})

// Merged is the result of a search, merged from the results of the shards.
var Merged = Type("Merged", func() {
	Attribute("inquiry", String, "Id to explain the inquiry by")
	Attribute("cut", String, "Cut of the index that every shard answered from")
	Attribute("shards", ArrayOf(Int), "Shards that answered")
	Attribute("missing", ArrayOf(Int), "Shards that did not")
	Attribute("records", ArrayOf(Record), "Score descending, id ascending")
	Required("inquiry", "cut", "shards", "missing", "records")
})

// Single is the result of a read, a correction or a part fetch.
var Single = Type("Single", func() {
	Attribute("inquiry", String)
	Attribute("cut", String)
	Attribute("shard", Int)
	Attribute("record", Record)
	Attribute("repeat", Boolean, "The outcome is an earlier one of the same key")
	Required("inquiry", "cut", "shard", "record")
})

func single() {
	Attribute("index", String, func() { MaxLength(128) })
	Attribute("id", String, func() { MaxLength(256) })
	Attribute("deadline_us", Int64, "Microseconds the caller will wait", func() {
		Minimum(1000)
		Maximum(60000000)
	})
	key()
	Required("index", "id")
}

// key adds the idempotency key, which identifies repeated requests. A request that is
// sent again, for whatever reason, has the same key as the first time. A correction or
// part fetch then runs only once, and a repeated search or read is charged to the
// pool's retry budget.
func key() {
	Attribute("key", String, "Inquiry key: the same for every sending of one inquiry", func() { MaxLength(128) })
}

// firstTry adds a field in which the caller states that it has never sent the key before. The
// request is then admitted even if the records of earlier attempts may have been lost.
func firstTry() {
	Attribute("first_try", Boolean, "The caller's word that it never sent this key before")
}

var _ = Service("caller", func() {
	Description("Searches, reads, corrections and part fetches")
	faults()
	Method("search", func() {
		Payload(func() {
			Attribute("index", String, func() { MaxLength(128) })
			Attribute("query", String, func() { MaxLength(4096) })
			Attribute("limit", Int, func() {
				Minimum(1)
				Maximum(1000)
				Default(10)
			})
			Attribute("deadline_us", Int64, "Microseconds the caller will wait", func() {
				Minimum(1000)
				Maximum(60000000)
			})
			key()
			Required("index", "query")
		})
		Result(Merged)
		HTTP(func() {
			POST("/v1/indexes/{index}/search")
			Header("key:Idempotency-Key")
			Response(StatusOK)
		})
	})
	Method("read", func() {
		Payload(single)
		Result(Single)
		HTTP(func() {
			GET("/v1/indexes/{index}/records/{id}")
			Param("deadline_us")
			Header("key:Idempotency-Key")
			Response(StatusOK)
		})
	})
	Method("correct", func() {
		Payload(func() {
			single()
			firstTry()
			Attribute("body", String, func() { MaxLength(65536) })
			Required("body")
		})
		Result(Single)
		HTTP(func() {
			POST("/v1/indexes/{index}/records/{id}/corrections")
			Header("key:Idempotency-Key")
			Header("first_try:First-Try")
			Response(StatusOK)
		})
	})
	Method("part", func() {
		Payload(func() {
			single()
			firstTry()
			Attribute("part", Int, func() { Minimum(0) })
			Required("part")
		})
		Result(Single)
		HTTP(func() {
			POST("/v1/indexes/{index}/records/{id}/parts/{part}")
			Header("key:Idempotency-Key")
			Header("first_try:First-Try")
			Response(StatusOK)
		})
	})
})
