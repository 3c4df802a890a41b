#!/usr/bin/env bash
# Runs all checks: Debian packages, formatting, generated code, vet, the linter, the build
# of the deploy file, the tests, and the tests with the race detector. Only tests that are
# listed in KNOWN-RED.txt may fail.
set -eu
cd "$(dirname "$0")"
step() { printf '== %s\n' "$*"; }

step "install packages"
tools/install_packages.sh

step formatting
bad=$(gofmt -l $(git ls-files '*.go'))
[ -z "$bad" ] || { echo "not formatted: $bad"; exit 1; }

step "generated code is up to date"
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

step "tests with the race detector"
go run ./tools/knownred -- -count=1 -race -short -timeout 40m ./...
