#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/glade-entry target/review-3/standin-3; do
	[ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec target/review-3/standin-3 carried target/glade-entry review/13/record.txt
