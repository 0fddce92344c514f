#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# plays without the disruption. What was sent, answered and run is in record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cyclamenhoist ] && [ -x target/review/lab ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review/lab added-after-outage "$here/record.txt"
