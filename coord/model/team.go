package model

// Team is an organisation that submits work.
type Team struct {
	Name   string
	Keys   []string // API keys
	Weight float64  // relative share of the capacity when it is contended
	Limit  Amount   // most that its running tasks may take; 0 means no limit
}
