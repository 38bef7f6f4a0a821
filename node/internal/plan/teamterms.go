package plan

import "github.com/balsamford/balsamford/coord/model"

// teamTerms is what a configuration says of a team. It is kept, since each decision needs it for
// each stage that waits.
type teamTerms struct {
	config *model.Config // nil for none
	known  bool          // the configuration has the team
	limit  model.Amount
}
