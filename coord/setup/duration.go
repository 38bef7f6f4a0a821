package setup

import "time"

// Duration is a time.Duration that is represented in TOML as text with a unit,
// like "250ms" or "3s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text), Err: err}
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// DurationError reports a duration that can't be parsed.
type DurationError struct {
	Text string
	Err  error
}

// Error implements error.
func (e *DurationError) Error() string {
	return `"` + e.Text + `" is not a duration; write a number with a unit, like "250ms" or "3s"`
}

// Unwrap returns the cause.
func (e *DurationError) Unwrap() error { return e.Err }
