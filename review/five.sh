#!/usr/bin/env bash
# Runs a case's script a number of times, one after the other: five.sh CASE [RUNS]. A line a run, then the counts.
cd "$(dirname "$0")"
for ((run = 1; run <= ${2:-5}; run++)); do
  "./$1/run.sh" >/dev/null 2>&1
  status=$?
  echo "case $1, TROUBLE=${TROUBLE:-1}, run $run: status $status, $(tail -n 30 "$1/record.txt" | grep 'result:' | cut -c11-)"
done
