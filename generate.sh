#!/usr/bin/env bash
# Makes all generated code anew: the API from design, messages from wire, the sheet from proto.
set -eu
cd "$(dirname "$0")"
go tool goa gen wallport/api/design >/dev/null
(cd runtime/wire && go generate ./...)
go run ./tools/gen_proto
gofmt -w gen runtime/wire api/configpb api/routingpb
