package settings

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that settings write as text with a unit, such as
// "250ms" or "2m". A bare number is refused, since its unit would be a guess.
type Duration struct {
	time.Duration
}

// UnmarshalText reads a duration with its unit. Negative durations are refused
// here because no setting has a use for one.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write a number with a unit, such as \"250ms\"", text)
	}
	if parsed < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
