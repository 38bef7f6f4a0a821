package ledger

// The tables. Each has its rows under Key.
const (
	Jobs  = "job"  // a wire.Job
	Marks = "mark" // ids that were used, so that a job isn't written a second time after it has ended
	Opens = "open" // an Open for each job without an outcome
	Ends  = "over" // an End for each job with one
)

// Key returns the key of a job's rows, from its home zone and id.
func Key(zone, id string) string { return Prefix(zone) + id }

// Prefix returns what the keys of a zone's jobs begin with.
func Prefix(zone string) string { return zone + "/" }
