#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -f target/mastdrift.jar ] && [ -d target/review-2 ] || { echo "not built" > "$case_folder/record.txt"; exit 2; }
exec java -cp target/review-2 BudgetAfterRestart "$case_folder"
