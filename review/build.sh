#!/usr/bin/env bash
# Builds the harness that the review's scripts run, target/review-harness. Run the build command of deploy/system.toml first.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-harness ./review/lab
