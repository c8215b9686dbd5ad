#!/usr/bin/env bash
# Builds the programs of the cases, which hold their stand-ins. It needs the build of the deploy file before it, and no
# network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]*/; do
  go build -o "review/bin/case-$(basename "$case")" "./$case"
done
