package wire

// Job is the row of an accepted batch, service or gang request in the platform's
// table "job", under the key zone + "/" + id. Creating the row, with Expect 0,
// accepts the request. Epoch fences drivers: a placer that takes a job over
// increases it, and drives the job only while the row has that epoch.
type Job struct {
	Request Request   `cbor:"request"`
	Zone    string    `cbor:"zone"`             // home zone of the id
	Driver  string    `cbor:"driver,omitempty"` // placer that starts and restarts its tasks
	Epoch   uint64    `cbor:"epoch"`            // increases with each change of driver
	Phase   Phase     `cbor:"phase"`
	Outcome Outcome   `cbor:"outcome,omitempty"`
	Reason  string    `cbor:"reason,omitempty"`
	Cancel  bool      `cbor:"cancel,omitempty"` // the caller requested cancellation
	Tasks   []JobTask `cbor:"tasks,omitempty"`
}

// JobTask is the state of one task of a job. Each attempt is written before its
// start is sent, so no attempt can run that the row doesn't have.
type JobTask struct {
	Attempt  uint32  `cbor:"attempt"`
	Endpoint string  `cbor:"endpoint,omitempty"`
	Epoch    uint64  `cbor:"epoch,omitempty"` // of the endpoint's owner at the start
	Phase    Phase   `cbor:"phase"`
	Outcome  Outcome `cbor:"outcome,omitempty"`
	Code     int     `cbor:"code,omitempty"`
	Output   []byte  `cbor:"output,omitempty"`
}
