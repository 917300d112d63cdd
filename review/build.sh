#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-mod=readonly -buildvcs=false" go build -o ../../target/review/standin .
