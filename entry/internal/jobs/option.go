package jobs

import "time"

// History is the default time for which ended jobs are kept.
const History = 24 * time.Hour

// Option configures a Book in New.
type Option func(*Book)

// WithHistory sets how long ended jobs are kept. The default is History.
func WithHistory(d time.Duration) Option { return func(b *Book) { b.history = d } }
