package borrow

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/roster"
)

// nameBase is the number base of the epoch in a name.
const nameBase = 36

// Name returns the name under which a placer's process holds parts. It includes
// the epoch of the process, so that it is never reused.
func Name(m roster.Member) string {
	return m.Name + "." + strconv.FormatUint(m.Epoch, nameBase)
}
