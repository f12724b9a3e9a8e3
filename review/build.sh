#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/peers ./review/peers
