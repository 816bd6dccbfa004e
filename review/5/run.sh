#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in review/bin/rig target/teaseltide-platform; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec review/bin/rig lost-cancel "$here/record.txt"
