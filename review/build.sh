#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard
# library only. The cell itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOPROXY=off go build -o standin .
