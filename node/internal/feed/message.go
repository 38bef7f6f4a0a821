package feed

import (
	"time"

	"github.com/balsamford/balsamford/platform"
)

// request asks for the changes of a table after a version.
type request struct {
	Table string `cbor:"1,keyasint"`
	After int64  `cbor:"2,keyasint"`
}

// reply has the changes after the requested version, up to Version.
type reply struct {
	Usable  bool           `cbor:"1,keyasint,omitempty"` // false if the feeder can't provide the changes
	Rows    []platform.Row `cbor:"2,keyasint,omitempty"`
	Version int64          `cbor:"3,keyasint,omitempty"`
	Age     time.Duration  `cbor:"4,keyasint,omitempty"` // time since the feeder was known to be complete up to Version
}
