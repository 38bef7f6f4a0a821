// Package ledger builds the transactions that keep a job's rows in the
// platform's tables consistent: the job itself, the mark that its id was used,
// its entry in the index of open jobs, and the time of its end. Each
// transaction is conditional on the version of the job's own row, so the other
// rows always agree with it.
package ledger
