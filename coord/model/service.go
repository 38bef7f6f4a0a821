package model

// Service is a group of executors of the same type.
type Service struct {
	Name    string
	Health  string // path of its health check
	Guarded bool   // its executors reject tasks that exceed their capacity
	Standby bool   // its machines are powered off
}
