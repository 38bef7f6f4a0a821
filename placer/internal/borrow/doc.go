// Package borrow moves parts of the teams' upper limits between the placers of a
// zone and the platform's accounts, and releases the parts of dead placers.
package borrow
