#!/bin/sh
# Builds the stand-ins that the cases start: a store, servers, clients and an operator.
set -eu
cd "$(dirname "$0")/tools"
go build -buildvcs=false -o ../bin/tools .
