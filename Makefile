# Shortcuts for common tasks; the build itself is defined in CMakeLists.txt.
BUILD ?= build

.PHONY: all deps build demo check bench prove format lint generate

all: build

deps:
	sh scripts/deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD)

# Runs the Peritos example fleet under load; KEEP=N instead keeps it running
# for N seconds without load.
demo: build
	BUILD=$(BUILD) KEEP=$(KEEP) bash tests/demo.sh

check: build
	sh scripts/check.sh $(BUILD)

format:
	clang-format -i $$(git ls-files '*.c' '*.h' '*.cc' | grep -v '^gen/')

lint:
	sh scripts/lint.sh $(BUILD)

# Regenerates gen/; needed only after a change in proto/.
generate:
	cd proto && protoc-c --c_out=../gen jujube.proto settings.proto

# Mutation test: disables each mechanism and expects its test to fail.
prove: deps
	bash scripts/prove.sh

# Prints the figures of docs/MEASUREMENTS.md, without pass or fail.
bench: deps
	sh scripts/bench.sh
