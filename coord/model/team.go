package model

// Team is an organisation that submits work.
type Team struct {
	Name   string
	Keys   []string
	Weight float64 // share when all is full
	Limit  Amount  // of what it may have running; 0 is no limit
}
