#!/bin/sh
# Builds the program of the scripts review/6 and later, into target/. It needs the build of the
# deploy file first, and no network.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target
go test -c -o ../../target/review-rig .
