package point

// The HTTP interface of an endpoint. Unless noted otherwise, a call whose
// holder and epoch aren't those of the endpoint's current owner is answered with
// status 409 and a FencedError as its body.
const (
	PathOpen    = "/open"    // POST Open, answered by View; acquires ownership
	PathRenew   = "/renew"   // POST Renew, answered by Report; renews ownership and the tasks' leases
	PathRelease = "/release" // POST Owner; releases ownership, tasks keep running until their leases expire
	PathRun     = "/run"     // POST Start to an executor, answered by a stream
	PathStart   = "/start"   // POST Start to a worker: 202 once the task runs, 507 without capacity, 503 if the worker is leaving
	PathStop    = "/stop"    // POST Stop
	PathTasks   = "/tasks"   // GET, answered by View; needs no ownership
	PathFault   = "/fault"   // POST; fault injection of the stand-in, a test endpoint
	PathLog     = "/log"     // GET; the stand-in's own log, one JSON line for each event

	// Headers of the answer to PathRun. The answer is complete if its size
	// equals Content-Length and its checksum equals HeaderSum.
	HeaderID      = "Task-Id"
	HeaderAttempt = "Task-Attempt"
	HeaderEpoch   = "Task-Epoch"
	HeaderSum     = "Task-Sum" // xxhash64 of the answer, in hexadecimal
)
