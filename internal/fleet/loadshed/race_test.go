//go:build race

package loadshed

const raceOn = true
