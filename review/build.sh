#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
(cd check && go test -c -o ../../target/review-check .)
(cd standin && GOWORK=off go test -c -o ../../target/review-standin .)
