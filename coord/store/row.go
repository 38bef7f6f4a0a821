package store

// Row is one row of a table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // goes up with every write of the row, from 1
	Value   []byte `json:"value"`
}
