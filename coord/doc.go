// Package coord is the root of the coordination library that the balsamford
// programs share and that other projects can embed. Each of its packages can be
// used on its own. No package imports code of a program.
package coord
