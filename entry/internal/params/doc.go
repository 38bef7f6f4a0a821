// Package params defines and validates the settings of the entry program.
package params
