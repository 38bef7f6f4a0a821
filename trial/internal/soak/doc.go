// Package soak runs the platform's program as several processes on the loopback,
// against stand-ins of the platform, under load and seeded faults that are made from
// outside: signals, proxies that delay, reset, cut one way or silence connections, a
// store that is down, slow, or loses and delays writes, executors that crash, fail, carry
// orders out late and have slow clocks, and configurations that change. Faults overlap.
//
// A ledger and the stand-ins' judge check the promises meanwhile, from what clients and
// executors see: no task twice, out of order, over an executor's room or its team's limit,
// beyond its attempts, or unasked for; no refused job run and no accepted one lost; no
// configuration that goes back; no stop that isn't graceful.
package soak
