#!/bin/sh
# Runs one case of this review five times, then once with TROUBLE=0, and prints the exit statuses.
# usage: review/five-2.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
  sh run.sh > /dev/null 2>&1
  echo "case $1 run $run: exit $?"
done
TROUBLE=0 sh run.sh > /dev/null 2>&1
echo "case $1 with TROUBLE=0: exit $?"
