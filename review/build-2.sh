#!/bin/sh
# Builds the stand-ins of the second review's cases. Run once, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p rig-2/bin
go build -o rig-2/bin/ ./rig-2/cases
