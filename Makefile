# Each target is one line; most call scripts of tools/.
BUILD ?= build
SEED ?= 1
DURATION_S ?= 60

all: ; tools/build.sh $(BUILD)
demo: ; tools/build.sh $(BUILD) && tools/demo.sh $(BUILD)
test: ; tools/build.sh $(BUILD) && tools/test.sh $(BUILD)
check: ; tools/build.sh $(BUILD) && tools/check.sh $(BUILD)
asan: ; tools/build.sh build-asan -DDB_SANITIZE=ON && tools/test.sh build-asan
model: ; tools/install-deps.sh && tools/model.sh
bench: ; tools/build.sh $(BUILD) && tools/bench.sh $(BUILD) $(SEED)
bench-path: ; tools/build.sh $(BUILD) && tools/bench-path.sh $(BUILD)
soak: ; tools/build.sh $(BUILD) && DB_SEED=$(SEED) DB_SOAK_S=$(DURATION_S) $(BUILD)/platform/platform_soak_test
capacity: ; tools/build.sh $(BUILD) && tools/capacity.sh $(BUILD)
format: ; tools/check.sh --format
clean: ; rm -rf build build-asan

.PHONY: all demo test check asan model bench bench-path soak capacity format clean
