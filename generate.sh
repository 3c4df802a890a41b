#!/usr/bin/env bash
# Regenerates all generated code: the API from its design, the encoding of messages in runtime/wire, and the
# configuration and the routing table from their proto files.
set -eu
cd "$(dirname "$0")"
go tool goa gen wallport/api/design >/dev/null
(cd runtime/wire && go generate ./...)
go run ./tools/gen_proto
gofmt -w gen runtime/wire api/configpb api/routingpb
