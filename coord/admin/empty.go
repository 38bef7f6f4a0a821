package admin

// Empty is an answer without content.
type Empty struct{}
