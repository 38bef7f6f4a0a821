package ledger

// The names of the tables. The rows of each are stored under Key.
const (
	Jobs  = "job"  // a wire.Job
	Marks = "mark" // used ids, so that a job can't be created again after it has ended
	Opens = "open" // an Open for each job without an outcome
	Ends  = "over" // an End for each job with an outcome
)

// Key returns the key of a job's rows, given its home zone and id.
func Key(zone, id string) string { return Prefix(zone) + id }

// Prefix returns the common prefix of the keys of a zone's jobs.
func Prefix(zone string) string { return zone + "/" }
