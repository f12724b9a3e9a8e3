#!/usr/bin/env bash
# Runs the case drain-after-short-outage: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand2 ] && [ -x ../../bin/birchcart ] || { echo "not built: the line build of deploy/balancer.toml, then review/build-2.sh"; exit 2; }
exec ../bin/stand2 drain-after-short-outage .
