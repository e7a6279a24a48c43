#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs Go and no module from outside.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-2 .
