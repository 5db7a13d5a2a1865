#!/bin/sh
# Runs case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/case-3 target/beechwing-sidecar target/beechwing-control; do
	[ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec target/review/case-3
