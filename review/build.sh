#!/bin/sh
# Builds the stand-ins of the cases, without any dependency, into target/review.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS="$GOFLAGS -buildvcs=false" go build -o ../../target/review/reviewcase .
