#!/bin/sh
# Builds the stand-ins of the cases. It needs Go and no module from outside.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
