#!/bin/sh
# An executor loses power for a moment, twice, and starts again under its id. Exits with 1 if a task
# ran twice, 0 if none did, 2 if the case couldn't run. TROUBLE=0 leaves the executor alone.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/node ] && [ -x target/review-rig ] || exit 2
exec target/review-rig acked "$here"
