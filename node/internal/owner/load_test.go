package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

// A new owner counts jobs against their teams' shares in the order of submission, including
// jobs that have ended.
func TestSubmissionsAreInOrder(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(1_800_000_000+int64(s), 0) }
	accepted := map[string]board.Accepted{
		"3": {Team: "a", Sent: at(3)}, "1": {Team: "b", Sent: at(1)}, "4": {Team: "c"}, "2": {Team: "d", Sent: at(2)},
	}
	jobs := []*model.Job{{ID: "2", Team: "d", Sent: at(2)}, {ID: "0", Team: "e", Sent: at(0)}}
	teams := ""
	for _, a := range submissionsInOrder(accepted, jobs) {
		teams += a.Team
		is.Equal(a.Job != nil, a.Team >= "d")
	}
	is.Equal(teams, "ebda") // The job without a submission time is left out.
}
