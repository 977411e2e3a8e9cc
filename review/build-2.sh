#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/standin-2 && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standin2 .)
