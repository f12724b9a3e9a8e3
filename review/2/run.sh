#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] && [ -x bin/birchcart ] && [ -x review/bin/peers ] || { echo "build by the deploy file and review/build.sh first"; exit 2; }
export RUN
exec timeout -k 5 110 review/bin/peers planned-restart review/2/record.txt
