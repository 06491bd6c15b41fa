#!/bin/sh
# Builds the stand-ins and checkers of the script cases of the second review.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/cases2 ./review/cases2
