package wire

// Job is the row of one accepted batch, service or gang request in the
// platform's table "job", under the key zone + "/" + id. Creating the row
// with Expect 0 accepts the request; whoever drives it holds the row's epoch.
type Job struct {
	Request Request   `cbor:"request"`
	Zone    string    `cbor:"zone"`             // home zone of the id
	Driver  string    `cbor:"driver,omitempty"` // placer that starts and restarts its tasks
	Epoch   uint64    `cbor:"epoch"`            // goes up with each change of driver
	Phase   Phase     `cbor:"phase"`
	Outcome Outcome   `cbor:"outcome,omitempty"`
	Reason  string    `cbor:"reason,omitempty"`
	Cancel  bool      `cbor:"cancel,omitempty"` // the caller asked for its end
	Tasks   []JobTask `cbor:"tasks,omitempty"`
}

// JobTask is where one task of a job stands. Its attempt is written before
// the start leaves.
type JobTask struct {
	Attempt  uint32  `cbor:"attempt"`
	Endpoint string  `cbor:"endpoint,omitempty"`
	Epoch    uint64  `cbor:"epoch,omitempty"` // of the endpoint's owner at the start
	Phase    Phase   `cbor:"phase"`
	Outcome  Outcome `cbor:"outcome,omitempty"`
	Code     int     `cbor:"code,omitempty"`
	Output   []byte  `cbor:"output,omitempty"`
}
