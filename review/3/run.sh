#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/RadiusStop.class ] && [ -f target/mastdrift.jar ] || exit 2
exec java -XX:-UsePerfData -cp target/review RadiusStop review/3/record.txt
