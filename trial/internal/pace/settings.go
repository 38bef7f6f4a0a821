package pace

import (
	"time"

	"github.com/balsamford/balsamford/trial/site"
)

// Settings describes the measures to run.
type Settings struct {
	Site site.Settings
	Span time.Duration // time under each load
	Rate float64       // requests a second in the measures slow, kill and replace
	Only []string      // names of measures; all if empty
}
