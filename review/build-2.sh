#!/bin/sh
# Builds the stand-in that the cases 6 to 10 start, into a folder that is not committed. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o review/standin-2/bin/standin-2 ./review/standin-2
