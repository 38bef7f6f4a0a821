package admin

// Empty is a response without content.
type Empty struct{}
