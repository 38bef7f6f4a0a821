package pace

import (
	"time"

	"github.com/balsamford/balsamford/trial/site"
)

// Settings say what to measure.
type Settings struct {
	Site site.Settings
	Span time.Duration // of each rate
	Rate float64       // requests a second while hosts are lost or replaced
	Only []string      // names of measures; all if empty
}
