#!/usr/bin/env bash
# A configuration that names one shard twice is acknowledged: every response then contains two parts of one service.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs the case without its disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/wallport ] && [ -x target/review-harness ] || { echo "target/wallport or target/review-harness is missing: run the build command of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review-harness shard-named-twice target/wallport "$here/record.txt"
