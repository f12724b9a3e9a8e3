//go:build race

package shed

const raceOn = true
