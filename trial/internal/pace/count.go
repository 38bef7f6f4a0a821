package pace

// Count holds how many requests were sent and how many of them were done with
// the correct answer.
type Count struct {
	Sent int
	Done int
}
