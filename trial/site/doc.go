// Package site is a running deployment with its configuration, and what can
// be seen of it from outside.
package site
