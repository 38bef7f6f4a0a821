#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need the build of the deploy file as well.
set -euo pipefail
cd "$(dirname "$0")/rig3"
mkdir -p ../../target/review-3
go test -c -o ../../target/review-3/rig .
