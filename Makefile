JOBS ?= 4
SOURCES = $(wildcard src/*.h src/*.cpp src/*/*.h src/*/*.cpp lab/*.cpp lab/*/*.h lab/*/*.cpp tests/*.h tests/*.cpp)

.PHONY: build lab test lint tidy run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

# The laboratory: build-lab/canvasstage-lab
lab:
	cmake -B build-lab -DCMAKE_BUILD_TYPE=Release -DCANVASSTAGE_LAB=ON
	cmake --build build-lab -j$(JOBS) --target canvasstage-lab

# Matches the tests that KNOWN-RED.txt lists, where there are any. Only .ci/run passes over them.
PASS_OVER_KNOWN_RED ?= 0
ifeq ($(PASS_OVER_KNOWN_RED),1)
  KNOWN_RED := $(shell .ci/known-red 2>/dev/null)
  EXCLUDE_KNOWN_RED := $(if $(KNOWN_RED),-E '$(KNOWN_RED)')
endif

# All tests under the address and undefined-behaviour sanitizers, then those with threads under the thread sanitizer.
test:
	cmake -B build-ci -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCANVASSTAGE_TESTS=ON \
	  -DCANVASSTAGE_SANITIZE=address,undefined
	cmake --build build-ci -j$(JOBS)
	$(if $(KNOWN_RED),.ci/known-red-exist build-ci)
	ctest --test-dir build-ci --output-on-failure -j$(JOBS) $(EXCLUDE_KNOWN_RED)
	cmake -B build-tsan -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCANVASSTAGE_TESTS=ON -DCANVASSTAGE_LAB=OFF \
	  -DCANVASSTAGE_SANITIZE=thread
	cmake --build build-tsan -j$(JOBS)
	TSAN_OPTIONS=halt_on_error=1 ctest --test-dir build-tsan --output-on-failure -j$(JOBS) -R '^(Program|Storage)' \
	  $(EXCLUDE_KNOWN_RED)

lint: tidy
	clang-format --dry-run --Werror $(SOURCES)
	@! grep -nE '^.{111,}' $(SOURCES) || (echo 'lines over 110 characters'; exit 1)

# clang-tidy with the checks of .clang-tidy; what it finds is an error.
tidy:
	cmake -B build-tidy -DCMAKE_BUILD_TYPE=Release -DCANVASSTAGE_LAB=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	ls src/*.cpp src/*/*.cpp lab/*.cpp lab/*/*.cpp | xargs -P $(JOBS) -n 4 clang-tidy --quiet -p build-tidy

# One node; NODE_CONFIG names its configuration (README).
run: build
	exec build/canvasstage

clean:
	rm -rf build build-ci build-tsan build-tidy
