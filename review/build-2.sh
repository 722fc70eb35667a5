#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need a C++20
# compiler and nlohmann-json3-dev, as the product does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp
do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
