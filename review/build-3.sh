#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15, the project's own
# (platform/standin) among them.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOFLAGS= GOPROXY=off go build -o ../../target/review-3 .
