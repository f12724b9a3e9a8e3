//go:build !race

package shed

const raceOn = false
