# bambootally: build, tests, models, scenarios, benchmarks.
# The .c files of LIB_SRC make up the library.  Every .c file in src/bin,
# standins/bin, scenarios/bin, soak/bin and examples/programs, and every
# tests/test_*.c and bench/bench_*.c, is a program of its own.

VARIANT ?= release
PACKAGES = glib-2.0 gio-2.0 libsoup-3.0 libtirpc libxxhash json-glib-1.0 gsl
B = build/$(VARIANT)
CC = gcc
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
CFLAGS_release = -O2 -g
CFLAGS_asan = -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -llog4c -lcunit -lm
CFLAGS = -std=gnu11 -D_GNU_SOURCE $(CFLAGS_$(VARIANT)) $(WARN) -Isrc -I. $(PKG_CFLAGS)
LDLIBS = $(PKG_LIBS)

LIB_SRC := $(wildcard src/types/*.c src/fleet/*.c src/shard/*.c src/serve/*.c src/mesh/*.c src/decide/*.c src/wire/*.c src/edge/*.c src/tool/*.c platform/*.c)
STAND_SRC := $(wildcard standins/*.c)
SCN_SRC := $(wildcard scenarios/*.c)
BIN_SRC := $(wildcard src/bin/*.c)
STANDBIN_SRC := $(wildcard standins/bin/*.c)
TEST_SRC := $(wildcard tests/test_*.c)
BENCH_SRC := $(wildcard bench/bench_*.c)
BENCHLIB_SRC := $(filter-out $(BENCH_SRC),$(wildcard bench/*.c))
SCNBIN_SRC := $(wildcard scenarios/bin/*.c)
SOAK_SRC := $(wildcard soak/*.c)
SOAKBIN_SRC := $(wildcard soak/bin/*.c)
SHOW_SRC := $(wildcard examples/programs/*.c)
ALL_SRC := $(LIB_SRC) $(STAND_SRC) $(SCN_SRC) $(BIN_SRC) $(STANDBIN_SRC) \
	$(TEST_SRC) $(BENCH_SRC) $(BENCHLIB_SRC) $(SCNBIN_SRC) $(SHOW_SRC) \
	$(SOAK_SRC) $(SOAKBIN_SRC)
HEADERS := $(wildcard src/*/*.h platform/*.h standins/*.h scenarios/*.h tests/*.h bench/*.h soak/*.h)

LIB = $(B)/libbambootally.a
STANDLIB = $(B)/libstandins.a
SCNLIB = $(B)/libscenario.a
BENCHLIB = $(B)/libbench.a
SOAKLIB = $(B)/libsoak.a
BINS := $(BIN_SRC:src/bin/%.c=$(B)/%)
STANDBINS := $(STANDBIN_SRC:standins/bin/%.c=$(B)/%)
TESTS := $(TEST_SRC:tests/%.c=$(B)/%)
BENCHES := $(BENCH_SRC:bench/%.c=$(B)/%)
SCNBINS := $(SCNBIN_SRC:scenarios/bin/%.c=$(B)/%)
SOAKBINS := $(SOAKBIN_SRC:soak/bin/%.c=$(B)/%)
SHOWS := $(SHOW_SRC:examples/programs/%.c=$(B)/show_%)

.PHONY: all check lint format format-check tidy test asan-test scenarios \
	model demo bench packages clean chaos rolling state soak
.SECONDARY:

all: $(BINS) $(STANDBINS) $(BENCHES) $(SCNBINS) $(SOAKBINS) $(SHOWS)

$(B)/obj/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "  CC $<"
	@$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(STANDLIB): $(STAND_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(BENCHLIB): $(BENCHLIB_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(SCNLIB): $(SCN_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^

$(SOAKLIB): $(SOAK_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^

LINK = $(CC) $(CFLAGS) $< $(filter %.a,$^) -o $@ $(LDLIBS)
$(BINS): $(B)/%: $(B)/obj/src/bin/%.o $(LIB)
	@$(LINK)
$(STANDBINS): $(B)/%: $(B)/obj/standins/bin/%.o $(STANDLIB) $(LIB)
	@$(LINK)
$(TESTS): $(B)/%: $(B)/obj/tests/%.o $(SCNLIB) $(STANDLIB) $(SOAKLIB) $(LIB)
	@$(LINK)
$(BENCHES): $(B)/%: $(B)/obj/bench/%.o $(BENCHLIB) $(STANDLIB) $(LIB)
	@$(LINK)
$(SCNBINS): $(B)/%: $(B)/obj/scenarios/bin/%.o $(SCNLIB) $(STANDLIB) $(LIB)
	@$(LINK)
$(SOAKBINS): $(B)/%: $(B)/obj/soak/bin/%.o $(SOAKLIB) $(LIB)
	@$(LINK)
$(SHOWS): $(B)/show_%: $(B)/obj/examples/programs/%.o $(LIB)
	@$(LINK)

-include $(ALL_SRC:%.c=$(B)/obj/%.d)

packages:
	@sh .ci/packages

# All checks that CI runs.
check: format-check tidy all asan-test scenarios model
	@$(MAKE) soak
	@echo "check: all passed"

lint: format-check tidy

format:
	@clang-format -i $(ALL_SRC) $(HEADERS)
format-check:
	@clang-format --dry-run -Werror $(ALL_SRC) $(HEADERS)
tidy:
	@printf '%s\n' $(ALL_SRC) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE -Isrc -I. $(PKG_CFLAGS) 2>/dev/null' sh

asan-test:
	$(MAKE) VARIANT=asan test
test: all $(TESTS)
	@sh tests/run.sh $(B) $(notdir $(TESTS))

scenarios: all
	@if [ -x scenarios/run.sh ]; then sh scenarios/run.sh $(B); fi
model:
	@if [ -x spec/run.sh ]; then sh spec/run.sh; fi
soak: all
	sh soak/run.sh $(B)
demo: packages
	$(MAKE) all
	sh examples/demo.sh $(B) wales
bench: all
	sh bench/run.sh $(B)
chaos: all
	sh scenarios/chaos.sh $(B)
rolling: all
	sh scenarios/rolling.sh $(B)
state: all
	sh scenarios/state.sh $(B)
clean:
	rm -rf build out
