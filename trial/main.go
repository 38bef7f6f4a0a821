// Command trial is not built yet.
package main

import "C"

func main() {
}
