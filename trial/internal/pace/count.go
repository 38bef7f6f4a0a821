package pace

// Count is how many requests were sent and how many of them were answered as
// they should be.
type Count struct {
	Sent int
	Done int
}
