#!/usr/bin/env bash
# Runs the case from the root of the repository; TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/basilcourse.cjs ] || exit 2
exec node "$here/run.mjs"
