#!/bin/sh
# Builds the stand-ins and the cases of the review into target/. They need only Go's own library.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go test -c -o ../../target/review-standin .
