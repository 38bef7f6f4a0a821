package hold

// NotOwnerError reports that this placer may not start work on an endpoint at
// present, or that the epoch has changed since the decision. Nothing was sent.
type NotOwnerError struct{ Endpoint string }

// Error implements error.
func (e *NotOwnerError) Error() string { return "endpoint " + e.Endpoint + " isn't owned" }
