// Package ledger makes the writes that keep the rows of jobs in the platform's
// table together: the job, the mark that its id was used, its place in the
// index of open jobs, and when it ended. Each transaction is conditional on the
// version of the job's own row, so the others always agree with that.
package ledger
