// Package learn records the resources that the tasks of a job used and their
// run times, relative to the declared values, and corrects later declarations
// within bounds.
package learn
