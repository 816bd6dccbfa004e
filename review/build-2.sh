#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-2/rig .
