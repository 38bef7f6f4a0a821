package jobs

import "time"

// History is how long ended jobs are kept unless WithHistory says otherwise.
const History = 24 * time.Hour

// Option changes how New makes a Book.
type Option func(*Book)

// WithHistory sets how long ended jobs are kept.
func WithHistory(d time.Duration) Option { return func(b *Book) { b.history = d } }
