#!/bin/sh
# Builds the stand-ins and clients of the second review's cases into target/.
set -e
cd "$(dirname "$0")/tools-2"
GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2 .
