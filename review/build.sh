#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/check"
mkdir -p ../../target
go test -c -o ../../target/review-check .
