#!/bin/sh
# Runs the case "wrong" and writes record.txt beside this file. Exit status: 1 rule broken, 0 rule held, 2 could not run.
# TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/stand ] || exit 2
exec target/review/stand wrong "$here/record.txt"
