package store

// Row is one row of a table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // increases with every write of the row; at least 1
	Value   []byte `json:"value"`
}
