//go:build !linux

package suspension

import "time"

// Total is only available on Linux; elsewhere no suspension is detected.
func Total() (time.Duration, error) { return 0, nil }
