#!/bin/bash
# Builds the stand-ins that the scripts of the cases start into review/bin/. The
# programs of the project come from the line "build" in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
cc -O2 -g -Wall -o review/bin/metastore tests/standin/metastore.c \
	$(pkg-config --cflags --libs libmicrohttpd jansson libsodium) -lpthread
cc -O2 -g -Wall -Wextra -o review/bin/driver review/standin/driver.c
