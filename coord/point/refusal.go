package point

// Refusal is the body of the HTTP answer that a Client returns as a
// RefusedError.
type Refusal struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"` // a wire.Reason code
}
