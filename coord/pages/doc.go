// Package pages checks the project's pages against its code; it holds tests
// only.
package pages
