#!/bin/sh
# Builds the program that the run.sh of cases 6 to 10 start. It needs no network: the module has no
# dependencies.
set -eu
cd "$(dirname "$0")/6/second"
go build -trimpath -o ../../../target/review-2 .
