package point

// The HTTP interface of an endpoint. A call whose (holder, epoch) isn't the
// endpoint's present owner is answered with 409 and a FencedError.
const (
	PathOpen    = "/open"    // POST Open: View; takes ownership
	PathRenew   = "/renew"   // POST Renew: Report; keeps ownership and the tasks' leases
	PathRelease = "/release" // POST Owner; gives ownership up, tasks run on until their leases end
	PathRun     = "/run"     // POST Start to an executor: the answer as a stream
	PathStart   = "/start"   // POST Start to a worker: 202 once it runs, 507 if it has no room, 503 if it is leaving
	PathStop    = "/stop"    // POST Stop
	PathTasks   = "/tasks"   // GET: View; needs no ownership
	PathFault   = "/fault"   // POST: fault switches of the stand-in
	PathLog     = "/log"     // GET: the stand-in's own log, one JSON line for each event

	// Headers of the answer to PathRun. The answer is whole if as many bytes
	// came as Content-Length says and HeaderSum matches.
	HeaderID      = "Task-Id"
	HeaderAttempt = "Task-Attempt"
	HeaderEpoch   = "Task-Epoch"
	HeaderSum     = "Task-Sum" // xxhash64 of the answer, hexadecimal
)
