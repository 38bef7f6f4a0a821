package link

import "github.com/fxamacker/cbor/v2"

// encode returns v as CBOR. Times have microsecond precision; the codec's
// default truncates them to seconds.
func encode(v any) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(v)
}
