// Package record deduplicates requests. A retry waits for the running request,
// gets the recorded answer, or is refused, and a request that is not idempotent
// never starts twice.
//
// Each id has two holders: entry hosts chosen by rendezvous hashing over all
// configured hosts, whether they are up or not. A claim on an id is valid once
// a quorum of two out of three replicas has stored it: the first holder, the
// second holder and the platform's table. Any two claims on one id therefore
// share a replica that detects the conflict. A host keeps its records in memory
// and loses them on a restart. It doesn't count towards the quorum until it has
// read the records of the other holder and the table, or until the retention
// time has passed since its start.
//
// A claim on an idempotent request is replicated to the other holder on a best
// effort basis; the request runs without it. If one holder is unreachable, the
// other takes the request over and reports that the earlier run may still be in
// progress.
package record
