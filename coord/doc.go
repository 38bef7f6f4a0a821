// Package coord is the root of the coordination library that the balsamford
// programs share and that other projects can embed. Each of its packages can
// be used alone; none of them imports a program.
package coord
