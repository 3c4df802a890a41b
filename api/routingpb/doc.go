// Package routingpb is the generated form of the routing table; its schema is api/proto/routing.proto.
package routingpb
