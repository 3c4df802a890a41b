#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts, into target/. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-harness ./review/lab
