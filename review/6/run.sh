#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in system/violetyoke-proxy system/violetyoke-registry system/violetyoke-store review-2/stand-2; do
    [ -x "$root/target/$program" ] || { echo "target/$program is not built"; exit 2; }
done
"$root/target/review-2/stand-2" cold-again "$root" "$here"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
