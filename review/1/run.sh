#!/bin/sh
# Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
program=../../target/review/release/resume_after_cut
[ -x "$program" ] || exit 2
exec "$program" record.txt
