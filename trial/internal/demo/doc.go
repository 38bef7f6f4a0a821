// Package demo runs the main job: a small deployment, real requests of all
// kinds through it, a table, and a graceful end.
package demo
