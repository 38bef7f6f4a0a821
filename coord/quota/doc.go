// Package quota copies team limits from the configuration to the accounts from
// which package parts allocates them. A lowered limit is in force once the
// allocated parts fit it.
package quota
