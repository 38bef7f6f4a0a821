#!/bin/sh
# An executor loses the store. Once its entry has been removed, the owner is killed right after
# it has ordered a start there. Exits with 1 if a task ran twice, 0 if none did, 2 if the case
# couldn't run. TROUBLE=0 leaves the executor and the owner alone.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/node ] && [ -x target/review-rig ] || exit 2
exec target/review-rig unlisted "$here"
