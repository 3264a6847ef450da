#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and on, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./review/standin2
