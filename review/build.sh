#!/bin/sh
# Builds the stand-ins of the cases: one program a case, without dependencies.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./...
