// Package params holds the settings of the entry program.
package params
