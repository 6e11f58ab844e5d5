#!/usr/bin/env bash
# Builds the stand-ins of the cases. The instances come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -o target/review/stand_in \
  review/stand_in/main.cpp review/stand_in/world.cpp \
  -lboost_json -lcrypto -lpthread
