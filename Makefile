# The commands a newcomer uses. Each installs what is missing (see scripts/setup.sh).
.PHONY: setup build demo test bench prove soak ci

setup:
	@scripts/setup.sh

build: setup
	cargo build --workspace --bins --examples

demo: build
	@scripts/demo.sh

test: setup
	cargo test --workspace

ci:
	@.ci/run

prove: build
	@scripts/prove.sh

soak: setup
	HEATHVALE_SOAK_SEEDS=$${HEATHVALE_SOAK_SEEDS:-1-50} \
	  cargo test --test platform soak -- --nocapture

bench: setup
	cargo bench -p bench
	cargo build --release --workspace --bins --examples
	@scripts/bench-cell.sh
