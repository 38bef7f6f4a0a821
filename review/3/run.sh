#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-standin || exit 2
test -x target/node || exit 2
REVIEW_CASE=lapse REVIEW_CASE_DIR=review/3 exec target/review-standin
