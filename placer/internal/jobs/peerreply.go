package jobs

// peerReply answers a peerRequest.
type peerReply struct {
	Recorded  []bool        `cbor:"known,omitempty"` // for each of the request's Tasks, whether this placer drives it and has written its end
	Done      bool          `cbor:"done,omitempty"`  // Stop was carried out, Promise was given, Lock was acquired, or Fit or Held is true
	Endpoints []string      `cbor:"names,omitempty"` // answers Owned
	Count     int           `cbor:"room,omitempty"`  // with Fit, how many of the tasks fit together; with Offloads, the queue length
	Offloads  []peerReply   `cbor:"loans,omitempty"` // answers each of the request's Offloads with Grants or Rejected
	Grants    []grant       `cbor:"kept,omitempty"`  // answers Reserve once all of its tasks have capacity
	Results   []startResult `cbor:"fates,omitempty"` // answers Launch, one for each task that was to be started
	Rejected  bool          `cbor:"void,omitempty"`  // Reserve can't be granted, or no capacity is held for Launch
}
