#!/usr/bin/env bash
# Builds the stand-ins of the review, after the build of the deploy file; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOWORK=off go build -buildvcs=false -o ../../target/review-standin .
