package model

// Service is a group of like executors.
type Service struct {
	Name    string
	Health  string // path of its health check
	Guarded bool   // its executors refuse what doesn't fit
	Standby bool   // its machines are off
}
