// Package quota brings the limits of the configuration to the accounts from
// which package parts hands them out, and says when a lowered limit is in
// force: when the parts handed out fit under it.
package quota
