#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornplatform ] && [ -x target/review-standin-2 ] || { echo "build first"; exit 2; }
exec target/review-standin-2 stop review/8
