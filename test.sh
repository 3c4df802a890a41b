#!/usr/bin/env bash
# The whole check: packages, formatting, fresh generated code, vet, the linter, the
# build of the deploy file, tests, and a race run. Of the tests just those may fail that
# KNOWN-RED.txt lists.
set -eu
cd "$(dirname "$0")"
step() { printf '== %s\n' "$*"; }

step packages
tools/install_packages.sh

step formatting
bad=$(gofmt -l $(git ls-files '*.go'))
[ -z "$bad" ] || { echo "not formatted: $bad"; exit 1; }

step "generated code is fresh"
sums() { find gen api/configpb api/routingpb runtime/wire -type f | sort | xargs sha256sum; }
old=$(sums); ./generate.sh; new=$(sums)
[ "$old" = "$new" ] || { echo "generated code is stale: run ./generate.sh and commit"; diff <(echo "$old") <(echo "$new") || true; exit 1; }

step vet
go vet ./...

step linter
go tool staticcheck $(go list ./... | grep -v -e '/gen/')

step "build of the deploy file"
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"

step tests
go run ./tools/knownred -- -count=1 -timeout 40m ./...

step "race run"
go run ./tools/knownred -- -count=1 -race -short -timeout 40m ./...
