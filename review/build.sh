#!/bin/sh
# Builds the stand-ins of all scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/lab ./review/_lab
