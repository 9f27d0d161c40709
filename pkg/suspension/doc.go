// Package suspension detects suspensions of the machine. The monotonic clock, on which the
// runtime's timers and all ages are based, stops meanwhile: data that is seconds old looks
// fresh.
package suspension
