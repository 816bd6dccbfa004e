#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build line of deploy/system.toml.
cd "$(dirname "$0")/rig-3" || exit 2
mkdir -p ../../target/review-3 && GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-3/rig .
