// Package record remembers requests, so that a retry is joined to the running
// request, answered with the recorded answer, or refused, and a request that
// is not idempotent is never started twice.
//
// Each id has two holders, entry hosts chosen by rendezvous hashing over the
// configured hosts, live or not. A claim on an id counts once two of three
// places have it: the first holder, the second holder, the platform's table.
// Any two claims on one id therefore meet in a place. A host that has
// restarted has forgotten, so it doesn't count as a place until it has read
// the other holder and the table, or until every earlier claim is older than
// records are kept.
//
// A claim on an idempotent request is told to the other holder too, if that
// answers, but the request doesn't need it to run. A holder that is left takes
// the request over from one that can't be reached, with the warning that the
// earlier run may still go on.
package record
