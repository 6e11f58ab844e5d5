#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, with the libraries that the project declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_in_2/*.cpp; do
  object=target/review-2/$(basename "$source" .cpp).o
  ${CXX:-g++} -std=c++20 -O1 -Wall -c "$source" -o "$object" &
  objects+=("$object")
done
wait
${CXX:-g++} "${objects[@]}" -lboost_json -pthread -o target/review-2/case-runner
