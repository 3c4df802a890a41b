#!/usr/bin/env bash
# Installs the missing ones of the Debian packages that deploy/system.toml lists for a clean build.
set -eu
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
[ -n "$packages" ] || { echo "deploy/system.toml lists no packages"; exit 1; }
missing=()
for package in $packages; do
	dpkg-query -W -f '${db:Status-Status}\n' "$package" 2>/dev/null | grep -qx installed || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
