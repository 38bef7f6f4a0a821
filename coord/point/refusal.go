package point

// Refusal is the body of an answer that carries a RefusedError.
type Refusal struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}
