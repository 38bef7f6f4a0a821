// Package soak runs several processes of the program node on the loopback against a
// fake platform, under load and with seeded faults. The faults are injected from
// outside the processes and may overlap: signals; proxies that delay, reset or
// blackhole connections or drop responses; a store that is down or slow, drops
// responses, executes writes late or drops its history; executors that crash, fail
// tasks, execute orders late or have slow clocks; changes of settings and of the
// configuration; zones that operators evacuate.
//
// Meanwhile the scheduler's guarantees are checked from what clients and executors
// observe. No task runs twice, before the steps that it depends on, over its
// executor's capacity or its team's limit, more often than its attempts allow, or
// without a submission. No refused job runs, and no accepted job is lost. No host
// returns to an older configuration. Nothing starts in an evacuated zone. Every shutdown is graceful.
package soak
