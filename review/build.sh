#!/bin/bash
# Builds the stand-ins of all cases. It needs the Go toolchain and no network.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../bin/rig .
