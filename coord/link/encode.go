package link

import "github.com/fxamacker/cbor/v2"

// encode returns v as CBOR. Times keep their fractions of a second, which the
// library's default cuts off.
func encode(v any) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(v)
}
