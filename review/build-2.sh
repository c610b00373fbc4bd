#!/bin/sh
# Builds the stand-ins of the second review. The project's program is built by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/stand2
