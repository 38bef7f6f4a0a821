package hold

// NotOwnerError reports that this placer may not start work on an endpoint
// now, or not under the epoch that the decision was made in. Nothing was sent.
type NotOwnerError struct{ Endpoint string }

// Error implements error.
func (e *NotOwnerError) Error() string { return "endpoint " + e.Endpoint + " isn't owned" }
