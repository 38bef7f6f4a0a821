package config

import "github.com/pelletier/go-toml/v2"

// EncodeObject returns o as a TOML table.
func EncodeObject(o Object) []byte {
	body, err := toml.Marshal(o)
	if err != nil {
		// Unreachable: all field types of objects can be encoded.
		body = []byte("# " + err.Error() + "\n")
	}
	return append([]byte("["+o.Ref().String()+"]\n"), body...)
}
