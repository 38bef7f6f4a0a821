package config

// PublisherOption changes how NewPublisher makes a Publisher.
type PublisherOption func(*Publisher)

// ByWriter sets the process that publishes. All publishes of a cell whose
// processes follow the configuration need it: without, a version may be
// written of which those don't learn that confirm one another while the
// platform is away. It does nothing unless the Follower was made with
// WithWriter.
func ByWriter(f *Follower) PublisherOption {
	return func(p *Publisher) {
		if f.writer {
			p.follower = f
		}
	}
}
