#!/bin/bash
# Builds the stand-ins of all cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/ ./review/...
