#!/usr/bin/env bash
# Runs the case from the root of the project: 1 the rule was broken, 0 it held, 2 it couldn't run.
# TROUBLE=0 leaves out the disruption. The record of the run is written to record.txt in this folder.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-10
[ -x "$program" ] || { echo "$program is missing; run review/build-2.sh" >&2; exit 2; }
REVIEW_RECORD=review/10/record.txt timeout --kill-after=5 115 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
