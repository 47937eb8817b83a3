#!/bin/sh
# Builds the stand-ins of the second review's cases, and the project's agent for case 10. Run once, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p rig-2/bin
go build -o rig-2/bin/ ./rig-2/cases
cd ..
go build -o review/rig-2/bin/ ./cmd/birchfork-discovery-agent || echo "the agent could not be built: case 10 will not run" >&2
