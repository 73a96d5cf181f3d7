#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
CGO_ENABLED=0 GOWORK=off go build -buildvcs=false -o ../../target/kctreview2 .
