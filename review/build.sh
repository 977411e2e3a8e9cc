#!/bin/sh
# Builds the stand-ins of the scripted cases into target/. The nodes come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS="$GOFLAGS -buildvcs=false" go build -o ../../target/review-standin .
