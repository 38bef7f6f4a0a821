package borrow

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/roster"
)

// nameBase is the base in which the process's epoch is written.
const nameBase = 36

// Name returns the name under which a placer's process holds parts. It never
// comes back, because the epoch of the process is in it.
func Name(m roster.Member) string {
	return m.Name + "." + strconv.FormatUint(m.Epoch, nameBase)
}
