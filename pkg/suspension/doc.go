// Package suspension tells when the machine was suspended. The steady clock, by which the
// runtime's timers and all ages go, stands still meanwhile: what is seconds old looks fresh.
package suspension
